package lemondock.net.nio;

import java.io.IOException;
import java.net.BindException;
import java.nio.channels.Channel;
import lemondock.net.LocalResourcesExhaustedException;

/** What the classes of this package do alike with channels of the JDK. */
final class ChannelSupport {
  private ChannelSupport() {}

  static void closeQuietly(Channel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      // nothing is lost: the channel is given up in any case
    }
  }

  /**
   * A cause as the connection's owner hears it; what is wanting on this side says nothing about the
   * peer.
   */
  static IOException asIo(Throwable cause) {
    return cause instanceof BindException
        ? new LocalResourcesExhaustedException(
            "no local address or port: " + cause.getMessage(), cause)
        : cause instanceof IOException io ? io : new IOException(cause);
  }
}
