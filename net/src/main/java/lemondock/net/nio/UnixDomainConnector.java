package lemondock.net.nio;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * Connects to Unix domain sockets, for low-volume control traffic. Java has no asynchronous
 * channels for them, so a timer on the loop polls each connection, and only while it has something
 * to do.
 */
public final class UnixDomainConnector {
  private final Loop loop;

  /** Creates a connector whose handlers are called on the loop. */
  public UnixDomainConnector(Loop loop) {
    this.loop = loop;
  }

  /**
   * Connects, then calls the handler. A failure is reported by {@code closed} without a preceding
   * {@code connected}. Loop thread only.
   */
  public void connect(Path path, Connection.Handler handler) {
    SocketChannel channel;
    try {
      channel = open(path);
    } catch (IOException e) {
      loop.execute(() -> handler.closed(e));
      return;
    }
    PolledConnection connection = new PolledConnection(loop, channel, handler);
    loop.execute(() -> handler.connected(connection));
  }

  private static SocketChannel open(Path path) throws IOException {
    SocketChannel channel = SocketChannel.open(StandardProtocolFamily.UNIX);
    try {
      channel.configureBlocking(false);
      // completes or fails immediately, because no network is involved
      channel.connect(UnixDomainSocketAddress.of(path));
      if (!channel.finishConnect()) {
        throw new IOException(
            "connect to Unix domain socket " + path + " did not complete immediately");
      }
      return channel;
    } catch (IOException | RuntimeException e) {
      channel.close();
      throw e instanceof IOException io ? io : new IOException(e);
    }
  }
}
