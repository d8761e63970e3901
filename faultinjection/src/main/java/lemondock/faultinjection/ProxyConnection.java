package lemondock.faultinjection;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;

/**
 * A proxied connection: the client's channel and the channel to the server. Used by the proxy's
 * thread only.
 */
final class ProxyConnection {
  private final ProxyLink link;
  private final Selector selector;
  private final SocketChannel client;
  private final SocketChannel server;
  private final ProxyStream toServer;
  private final ProxyStream toClient;
  private boolean connecting;
  private boolean clientBroken;

  /** Takes over a client's connection; {@link #advance} connects to the server. */
  ProxyConnection(ProxyLink link, Selector selector, SocketChannel client) throws IOException {
    this.link = link;
    this.selector = selector;
    this.client = client;
    this.server = SocketChannel.open();
    for (SocketChannel channel : List.of(client, server)) {
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }
    toServer = new ProxyStream(selector, client, server, link::flowToServer, link::delayMicros);
    toClient = new ProxyStream(selector, server, client, link::flowToClient, link::delayMicros);
    client.register(selector, SelectionKey.OP_READ, this);
  }

  /**
   * Whether the connection needs another {@link #advance} even if no channel becomes ready: it is
   * not connected to the server yet, or holds bytes, a close or a reset.
   */
  boolean isPending() {
    return !server.isConnected() || clientBroken || toServer.isPending() || toClient.isPending();
  }

  /** Does all that is possible without blocking; returns false once the connection has ended. */
  boolean advance(ByteBuffer buffer) {
    try {
      if (!server.isConnected() && !connect()) {
        toServer.read(buffer);
        return true;
      }
      if (!transfer(buffer)) {
        reset();
        return false;
      }
      if (toServer.isEndForwarded() && toClient.isEndForwarded()) {
        close();
        return false;
      }
      return client.isOpen();
    } catch (IOException e) {
      reset();
      return false;
    }
  }

  private boolean connect() throws IOException {
    if (link.admission() == LinkAdmission.HALF_OPEN || !toServer.isPassing()) {
      return false;
    }
    if (!connecting) {
      connecting = true;
      server.connect(link.upstream());
    }
    if (!server.finishConnect()) {
      return false;
    }
    server.register(selector, SelectionKey.OP_READ, this);
    return true;
  }

  /**
   * Transfers bytes in both directions; returns false if a channel is broken and the connection
   * must be reset now.
   */
  private boolean transfer(ByteBuffer buffer) {
    if (!clientBroken && !toServer.read(buffer)) {
      clientBroken = true;
    }
    // like bytes, a reset is forwarded only while the link passes
    if (clientBroken && toServer.isPassing()) {
      return false;
    }
    boolean serverBroken = !toClient.read(buffer);
    if (serverBroken && toClient.isPassing()) {
      return false;
    }
    return toServer.write() && toClient.write();
  }

  /** Closes both channels with a RST. */
  void reset() {
    for (SocketChannel channel : List.of(client, server)) {
      try {
        if (channel.isOpen()) {
          channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
      } catch (IOException e) {
        // the channel is closed below in any case
      }
    }
    close();
  }

  private void close() {
    link.removeConnection(this);
    FaultProxy.closeQuietly(client);
    FaultProxy.closeQuietly(server);
  }
}
