package lemondock.net;

import java.io.IOException;

/**
 * A connection could not be made for want of something on this side, such as file handles or local
 * ports. It says nothing about the peer.
 */
public final class LocalResourcesExhaustedException extends IOException {
  private static final long serialVersionUID = 1;

  /** Says what was wanting. */
  public LocalResourcesExhaustedException(String what, Throwable cause) {
    super(what, cause);
  }
}
