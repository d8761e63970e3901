package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When a silent stream counts as hung. */
class SilenceLimitTest {
  /** A server with few events was taken for hung between two of them. */
  @ParameterizedTest
  @CsvSource({
    "249, 0, false",
    "250, 0, true",
    "250, 40, true",
    "400, 400, false",
    "800, 400, false",
    "801, 400, true"
  })
  void streamIsMeasuredByItsOwnPast(long silentMicros, long longestGapMicros, boolean isHung) {
    assertEquals(isHung, new SilenceLimit(250, 2).isExceeded(silentMicros, longestGapMicros));
  }
}
