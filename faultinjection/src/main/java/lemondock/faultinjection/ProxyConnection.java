package lemondock.faultinjection;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.List;

/** A proxied connection: its client's side and its far side. Used by the proxy's thread only. */
final class ProxyConnection {
  private final ProxyLink link;
  private final Selector selector;
  private final SocketChannel client;
  private final SocketChannel server;
  private final ProxyStream toServer;
  private final ProxyStream toClient;
  private boolean connecting;
  private boolean clientBroken;

  /** Takes over a client's connection; its far side is connected by {@link #advance}. */
  ProxyConnection(ProxyLink link, Selector selector, SocketChannel client) throws IOException {
    this.link = link;
    this.selector = selector;
    this.client = client;
    this.server = SocketChannel.open();
    for (SocketChannel side : List.of(client, server)) {
      side.configureBlocking(false);
      side.setOption(StandardSocketOptions.TCP_NODELAY, true);
    }
    toServer = new ProxyStream(selector, client, server, link::flowToServer, link::delayMicros);
    toClient = new ProxyStream(selector, server, client, link::flowToClient, link::delayMicros);
    client.register(selector, SelectionKey.OP_READ, this);
  }

  /**
   * Whether it has to be looked at again though nothing new comes: it connects, or holds something
   * back.
   */
  boolean isPending() {
    return !server.isConnected() || clientBroken || toServer.isPending() || toClient.isPending();
  }

  /** Does all that can be done now; returns false once the connection has ended. */
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
      if (toServer.isEndPassed() && toClient.isEndPassed()) {
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
    if (link.admission() == LinkAdmission.HALF_OPEN || !toServer.passes()) {
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

  /** Moves bytes both ways; returns false if a side is broken and the other has to learn of it. */
  private boolean transfer(ByteBuffer buffer) {
    if (!clientBroken && !toServer.read(buffer)) {
      clientBroken = true;
    }
    // a reset travels as bytes do: only where the link passes
    if (clientBroken && toServer.passes()) {
      return false;
    }
    boolean serverBroken = !toClient.read(buffer);
    if (serverBroken && toClient.passes()) {
      return false;
    }
    return toServer.write() && toClient.write();
  }

  /** Resets both sides. */
  void reset() {
    for (SocketChannel side : List.of(client, server)) {
      try {
        if (side.isOpen()) {
          side.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
      } catch (IOException e) {
        // closed in any case
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
