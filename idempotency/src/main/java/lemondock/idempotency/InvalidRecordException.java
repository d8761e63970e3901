package lemondock.idempotency;

/** The log holds a record that is none of this version's. */
public final class InvalidRecordException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  InvalidRecordException(RuntimeException cause) {
    super("not a record of a call: " + cause, cause);
  }
}
