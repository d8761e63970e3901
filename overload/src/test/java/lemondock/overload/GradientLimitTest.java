package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The limit of concurrent calls, adapted to their time to the first token. */
class GradientLimitTest {
  private static final long MILLIS = 1_000;

  @Test
  void limitShrinksWhileTimesGrowAndRecovers() {
    GradientLimit gradient = new GradientLimit(10, 100, 1_000, 1.5);
    for (int i = 0; i < 2_000; i++) {
      gradient.recordFirstToken(20 * MILLIS, gradient.limit());
    }
    assertEquals(1_000, gradient.limit());
    for (int i = 0; i < 100; i++) {
      gradient.recordFirstToken(200 * MILLIS, gradient.limit());
    }
    assertTrue(gradient.limit() < 100, "limit " + gradient.limit());
    int reducedLimit = gradient.limit();
    for (int i = 0; i < 300; i++) {
      gradient.recordFirstToken(20 * MILLIS, 1);
    }
    assertEquals(reducedLimit, gradient.limit(), "calls far below the limit must not raise it");
    for (int i = 0; i < 300; i++) {
      gradient.recordFirstToken(20 * MILLIS, gradient.limit());
    }
    assertEquals(1_000, gradient.limit());
  }
}
