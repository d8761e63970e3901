package lemondock.idempotency;

import java.util.Locale;

/** The status of the call with an idempotency key. */
public enum CallStatus {
  /** No such call is known: it may run. */
  UNKNOWN("unknown"),

  /** The call was rejected before anything of it ran: it may run. */
  NEVER_RAN("never_ran"),

  /** The call is in progress at this gateway. */
  IN_PROGRESS("under_way"),

  /** The call got a complete answer. */
  COMPLETED("served"),

  /**
   * The call, or the gateway process during it, ended without a complete answer; it may have run.
   */
  MAY_HAVE_RUN("may_have_run"),

  /**
   * No such call is known, but it may not run, because the store is full of calls that must not be
   * evicted yet.
   */
  STORE_FULL("full");

  private final String protocolName;

  CallStatus(String protocolName) {
    this.protocolName = protocolName;
  }

  /** The name of this status in answers to clients. */
  public String protocolName() {
    return protocolName;
  }

  /** The name of this status in the log. */
  String storedName() {
    return protocolName.toUpperCase(Locale.ROOT);
  }

  /** Returns the status with the given name in the log. */
  static CallStatus ofStoredName(String name) {
    for (CallStatus status : values()) {
      if (status.storedName().equals(name)) {
        return status;
      }
    }
    throw new IllegalArgumentException("call status: expected a stored name, found " + name);
  }

  /** Whether a call with this status may run. */
  public boolean mayRun() {
    return this == UNKNOWN || this == NEVER_RAN;
  }

  /** Whether a call can end with this status. */
  boolean isFinal() {
    return this == NEVER_RAN || this == COMPLETED || this == MAY_HAVE_RUN;
  }
}
