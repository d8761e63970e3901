package lemondock.net;

import java.io.IOException;

/**
 * A connection could not be opened because a local resource is exhausted, such as file descriptors
 * or local ports. The failure says nothing about the peer.
 */
public final class LocalResourcesExhaustedException extends IOException {
  private static final long serialVersionUID = 1;

  /** Creates an exception whose message names the exhausted resource. */
  public LocalResourcesExhaustedException(String message, Throwable cause) {
    super(message, cause);
  }
}
