package lemondock.simulator;

/** Input that does not follow the wire; the message says what and where. */
final class MalformedInputException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  MalformedInputException(String message) {
    super(message);
  }
}
