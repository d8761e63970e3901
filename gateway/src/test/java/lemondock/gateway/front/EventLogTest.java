package lemondock.gateway.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final EventLog log = new EventLog(100);

    private List<Long> after(long number) {
        return log.after(number).stream().map(EventLog.Event::number).toList();
    }

    @Test
    void whatFollowsAnEventIsKept() {
        for (int i = 0; i < 5; i++) {
            log.append(new byte[10]);
        }
        assertEquals(List.of(3L, 4L, 5L), after(2));
        assertEquals(List.of(), after(5));
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L), after(0));
        assertNull(log.after(6));
    }

    @Test
    void theOldestSentGoFirst() {
        for (int i = 0; i < 20; i++) {
            log.append(new byte[10]);
            log.markSent();
        }
        assertTrue(log.bytes() <= 110);
        assertNull(log.after(3));
        assertEquals(List.of(20L), after(19));
    }

    @Test
    void whatNobodyTookIsKeptAndSaysStop() {
        log.append(new byte[60]);
        assertFalse(log.full());
        log.append(new byte[60]);
        assertTrue(log.full());
        assertEquals(List.of(1L, 2L), after(0));
        log.markSent();
        assertFalse(log.full());
    }
}
