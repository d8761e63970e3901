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

    @Test
    void gatewaysThatStandStillOrAreOccupiedKeepTheRules() throws InterruptedException {
        BadDay.Result result = new BadDay(DayScript.quiet().with("frozen", 4, 60, List.of(
                new DayScript.Trouble("gateway_freeze", 700, 1500, 0, 0),
                new DayScript.Trouble("fast_errors", 1000, 1500, 0.4, 0.6),
                new DayScript.Trouble("gateway_busy", 1500, 1500, 0, 0.8)))).play();
        assertEquals(Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
                result.finding().breaches());
        assertTrue(result.service().get("all") > 0.5, result.service() + " " + result.endings());
    }
}
