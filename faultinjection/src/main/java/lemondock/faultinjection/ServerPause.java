package lemondock.faultinjection;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A time during the termination of the gateways in which some servers process nothing; afterwards
 * they go on.
 *
 * @param beginMicros time from the first signal to terminate
 * @param share the share of the servers that pause
 * @param seed for the choice of these servers
 */
record ServerPause(long beginMicros, long durationMicros, double share, long seed) {
  private static final long MIN_DURATION_MICROS = TimeUnit.MILLISECONDS.toMicros(200);
  private static final long MAX_DURATION_MICROS = TimeUnit.MILLISECONDS.toMicros(2_500);
  private static final double MIN_SHARE = 0.2;
  private static final double SHARE_RANGE = 0.4;

  /**
   * Draws a pause. The order of the random draws is fixed.
   *
   * @param latestBeginMillis bound of the time from the first signal to its begin
   */
  static ServerPause draw(SplittableRandom random, long latestBeginMillis) {
    long beginMicros = random.nextLong(TimeUnit.MILLISECONDS.toMicros(latestBeginMillis));
    long durationMicros =
        MIN_DURATION_MICROS + random.nextLong(MAX_DURATION_MICROS - MIN_DURATION_MICROS);
    double share = MIN_SHARE + SHARE_RANGE * random.nextDouble();
    return new ServerPause(beginMicros, durationMicros, share, random.nextLong());
  }

  @Override
  public String toString() {
    return String.format(
        "%d+%d of %.2f",
        TimeUnit.MICROSECONDS.toMillis(beginMicros),
        TimeUnit.MICROSECONDS.toMillis(durationMicros),
        share);
  }
}
