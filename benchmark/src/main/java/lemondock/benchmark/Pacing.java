package lemondock.benchmark;

import java.util.concurrent.TimeUnit;

/** Spreads the beginning of many streams over some time, so that they do not come all at once. */
final class Pacing {
  private Pacing() {}

  /**
   * Pauses behind each group of starts.
   *
   * @param groupSize starts without a pause between them
   * @param number of the start that was just made, from 0
   */
  static void pauseAfterEach(int groupSize, int number, long pauseMillis)
      throws InterruptedException {
    if (number % groupSize == groupSize - 1) {
      TimeUnit.MILLISECONDS.sleep(pauseMillis);
    }
  }
}
