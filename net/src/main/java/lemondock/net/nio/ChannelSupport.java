package lemondock.net.nio;

import java.io.IOException;
import java.net.BindException;
import java.nio.channels.Channel;
import lemondock.net.LocalResourcesExhaustedException;

/** Helpers for channels of the JDK. Any thread. */
final class ChannelSupport {
  private ChannelSupport() {}

  /** Closes a channel that is given up in any case; a failure to do so loses nothing. */
  static void closeQuietly(Channel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // given up in any case
    }
  }

  /**
   * A cause as the connection's owner hears it: a lack of something on this side says nothing about
   * the peer.
   */
  static IOException toIoException(Throwable cause) {
    return cause instanceof BindException
        ? new LocalResourcesExhaustedException(
            "no local address or port: " + cause.getMessage(), cause)
        : cause instanceof IOException io ? io : new IOException(cause);
  }
}
