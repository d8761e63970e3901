package lemondock.simulator;

/** Thrown for input that violates the wire protocol; the message has the problem and its place. */
final class MalformedInputException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  MalformedInputException(String message) {
    super(message);
  }
}
