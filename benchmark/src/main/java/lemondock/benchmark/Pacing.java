package lemondock.benchmark;

import java.util.concurrent.TimeUnit;

/** Spreads the starts of many streams over time, so that they do not all start at once. */
final class Pacing {
  private Pacing() {}

  /**
   * Pauses after each group of starts.
   *
   * @param groupSize number of starts without a pause between them
   * @param number index of the start that was just made, from 0
   */
  static void pauseAfterEach(int groupSize, int number, long pauseMillis)
      throws InterruptedException {
    if (number % groupSize == groupSize - 1) {
      TimeUnit.MILLISECONDS.sleep(pauseMillis);
    }
  }
}
