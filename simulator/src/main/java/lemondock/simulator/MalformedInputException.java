package lemondock.simulator;

/** Input that does not follow the wire; the message says what and where. */
final class Malformed extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  Malformed(String message) {
    super(message);
  }
}
