package lemondock.net.http;

/**
 * Thrown if a message violates the protocol or exceeds a limit. It has no stack trace, because any
 * peer can cause it.
 */
final class ProtocolViolation extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;

  /**
   * Creates a violation.
   *
   * @param status the status that a server should respond with
   * @param reason the violation, as sent to the client
   */
  ProtocolViolation(int status, String reason) {
    super(reason, null, false, false);
    this.status = status;
  }

  int status() {
    return status;
  }

  /** Throws a violation unless the condition holds. */
  static void require(boolean condition, int status, String reason) {
    if (!condition) {
      throw new ProtocolViolation(status, reason);
    }
  }
}
