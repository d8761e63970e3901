package lemondock.idempotency;

import java.util.Locale;

/** What is known of the call under an idempotency key. */
public enum CallStatus {
  /** Nothing is known of it: it may run. */
  UNKNOWN("unknown"),

  /** It was rejected, and nothing of it ran: it may run. */
  NEVER_RAN("never_ran"),

  /** It is in progress at this gateway. */
  IN_PROGRESS("under_way"),

  /** It got a complete answer. */
  COMPLETED("served"),

  /** It ended, or this gateway did, and it may have run. */
  MAY_HAVE_RUN("may_have_run"),

  /**
   * The store is full of calls that must not be forgotten yet; nothing is known, and it may not
   * run.
   */
  STORE_FULL("full");

  private final String protocolName;

  CallStatus(String protocolName) {
    this.protocolName = protocolName;
  }

  /** Its name in answers to clients. */
  public String protocolName() {
    return protocolName;
  }

  /** Its name in the log. */
  String storedName() {
    return protocolName.toUpperCase(Locale.ROOT);
  }

  /** The status of that name in the log. */
  static CallStatus ofStoredName(String name) {
    for (CallStatus status : values()) {
      if (status.storedName().equals(name)) {
        return status;
      }
    }
    throw new IllegalArgumentException("status: expected the name of one, found " + name);
  }

  /** Whether a call of this status may run. */
  public boolean mayRun() {
    return this == UNKNOWN || this == NEVER_RAN;
  }

  /** Whether a call can end with this status. */
  boolean isFinal() {
    return this == NEVER_RAN || this == COMPLETED || this == MAY_HAVE_RUN;
  }
}
