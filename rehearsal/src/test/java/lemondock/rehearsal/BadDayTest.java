package lemondock.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Short days on sockets keep the five rules. */
class BadDayTest {
    @Test
    void aQuietDayServesAlmostAll() throws InterruptedException {
        BadDay.Result result = new BadDay(DayScript.quiet().with("quiet", 3, 60, List.of())).play();
        assertEquals(Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
                result.finding().breaches());
        assertTrue(result.service().get("all") > 0.8, result.service() + " " + result.endings());
    }
}
