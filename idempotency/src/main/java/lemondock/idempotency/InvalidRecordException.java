package lemondock.idempotency;

/** Thrown for a record in the log that this version cannot decode. */
public final class InvalidRecordException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  InvalidRecordException(RuntimeException cause) {
    super("cannot decode a call record: " + cause, cause);
  }
}
