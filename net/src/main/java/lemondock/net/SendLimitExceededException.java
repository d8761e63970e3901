package lemondock.net;

import java.io.IOException;

/** A connection was closed because its last bytes could not be sent by their latest time. */
public final class SendLimitExceededException extends IOException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with the reason. */
  public SendLimitExceededException(String message) {
    super(message);
  }
}
