package lemondock.dispatch;

/** Controls an attempt that was sent to an engine. Loop thread only. */
public interface AttemptHandle {
  /** Closes the attempt's connection; its listener hears nothing more. */
  void cancel();

  /** Stops reading the output until {@link #resume}; back-pressure slows the engine. */
  default void pause() {}

  /** Reads the output again. */
  default void resume() {}

  /** Sends plain text of the output there from now on, if the adapter can tell it apart. */
  default void setDirectOutput(DirectOutput output) {}
}
