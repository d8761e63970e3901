package lemondock.net;

import java.util.function.LongConsumer;

/** Measures how long work submitted to a thread waits until the thread processes it. */
public interface DelayProbe {
  /**
   * Submits a new sample to the thread, unless the previous one is still waiting. Loop thread only.
   *
   * @param onDelayMicros receives, on the loop, how many microseconds the new sample waited
   * @return how many microseconds the previous sample has been waiting, 0 if none is waiting
   */
  long measure(LongConsumer onDelayMicros);
}
