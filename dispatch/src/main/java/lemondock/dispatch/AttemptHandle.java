package lemondock.dispatch;

/** Controls an attempt that was sent to an engine. Loop thread only. */
public interface AttemptHandle {
  /** Closes the attempt's connection; its listener is not called again. */
  void cancel();

  /**
   * Time for which the engine has sent nothing of an event of its stream, in microseconds; 0 if no
   * stream has begun or its output is not read at the moment.
   */
  default long silentMicros() {
    return 0;
  }

  /**
   * Longest time between data of the engine's stream so far, in microseconds; 0 if there were not
   * two yet.
   */
  default long longestGapMicros() {
    return 0;
  }

  /** Stops reading the output until {@link #resume}; back-pressure slows the engine. */
  default void pause() {}

  /** Resumes reading the output after {@link #pause}. */
  default void resume() {}

  /**
   * Sends plain text of the output directly to {@code output} from now on, if the adapter can
   * distinguish it from other events.
   */
  default void setDirectOutput(DirectOutput output) {}
}
