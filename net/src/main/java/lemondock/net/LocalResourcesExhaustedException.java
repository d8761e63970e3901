package lemondock.net;

import java.io.IOException;

/**
 * A connection could not be made because something on this side is exhausted, such as file handles
 * or local ports. It says nothing about the peer.
 */
public final class LocalResourcesExhaustedException extends IOException {
  private static final long serialVersionUID = 1;

  /** Makes an exception that says what is exhausted. */
  public LocalResourcesExhaustedException(String message, Throwable cause) {
    super(message, cause);
  }
}
