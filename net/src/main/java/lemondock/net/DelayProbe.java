package lemondock.net;

import java.util.function.LongConsumer;

/** Measures how long work that is handed to a thread waits until the thread comes to it. */
public interface DelayProbe {
  /**
   * Hands the thread something new, unless the last such thing still waits. Loop thread only.
   *
   * @param onDelayMicros hears, on the loop, how many microseconds it waited
   * @return for how many microseconds the last one has been waiting, 0 if it does not any more
   */
  long measure(LongConsumer onDelayMicros);
}
