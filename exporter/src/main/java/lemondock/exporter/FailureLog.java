package lemondock.exporter;

import org.slf4j.Logger;

/** Logs only the first of a row of failures of one destination. Loop thread only. */
public final class FailureLog {
  private final Logger logger;
  private final String destination;
  private boolean hasLogged;

  /** Makes a log that has logged nothing; {@code destination} is the name in the settings. */
  public FailureLog(Logger logger, String destination) {
    this.logger = logger;
    this.destination = destination;
  }

  /**
   * Logs a failure unless one was logged since the last {@link #reset}.
   *
   * @return whether it was logged
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
        .log("reports cannot be sent; tried again until it works");
    return true;
  }

  /** Lets the next failure be logged. */
  public void reset() {
    hasLogged = false;
  }
}
