package lemondock.net.nio;

import java.io.IOException;
import java.net.BindException;
import java.nio.channels.Channel;
import lemondock.net.LocalResourcesExhaustedException;

/** Helpers for JDK channels. Any thread. */
final class ChannelSupport {
  private ChannelSupport() {}

  /** Closes a channel that is no longer used and ignores a failure to close it. */
  static void closeQuietly(Channel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // nothing depends on the channel any more
    }
  }

  /**
   * Converts a failure to the exception that the connection's owner receives. A failure to bind
   * becomes a {@link LocalResourcesExhaustedException}, because it says nothing about the peer.
   */
  static IOException toIoException(Throwable cause) {
    return cause instanceof BindException
        ? new LocalResourcesExhaustedException(
            "no local address or port available: " + cause.getMessage(), cause)
        : cause instanceof IOException io ? io : new IOException(cause);
  }
}
