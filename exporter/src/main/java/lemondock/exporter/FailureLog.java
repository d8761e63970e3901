package lemondock.exporter;

import org.slf4j.Logger;

/** Logs only the first of consecutive failures of one destination. Loop thread only. */
public final class FailureLog {
  private final Logger logger;
  private final String destination;
  private boolean hasLogged;

  /** Creates a log; {@code destination} is the destination's name in the settings. */
  public FailureLog(Logger logger, String destination) {
    this.logger = logger;
    this.destination = destination;
  }

  /**
   * Logs a failure unless one was logged since the last {@link #reset}.
   *
   * @return whether the failure was logged
   */
  public boolean logFirst(String reason) {
    if (hasLogged) {
      return false;
    }
    hasLogged = true;
    logger
        .atWarn()
        .addKeyValue("destination", destination)
        .addKeyValue("why", reason)
        .log("sending snapshots to the destination failed; retrying until it succeeds");
    return true;
  }

  /** Lets the next failure be logged. */
  public void reset() {
    hasLogged = false;
  }
}
