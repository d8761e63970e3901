package lemondock.net.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * An HTTP/1.1 client with pooled connections, one request at a time on each. An idle connection is
 * read from, so one that its peer closes leaves the pool at once. A failure says whether anything
 * can have reached the server. Loop thread only.
 */
public final class HttpClient {
  private final Loop loop;
  private final Network network;
  private final HttpClientOptions options;
  private final ConnectionPool pool = new ConnectionPool();

  /** Makes a client without connections. */
  public HttpClient(Loop loop, Network network, HttpClientOptions options) {
    this.loop = loop;
    this.network = network;
    this.options = options;
  }

  /** Sends a request; the receiver is never called before this returns. */
  public HttpCall send(InetSocketAddress to, ByteBuffer request, ResponseReceiver receiver) {
    return send(to, () -> Optional.of(request), ConnectionPool.ANY_SHARD, receiver);
  }

  /**
   * The same over a connection of the shard of that number, unless only others may still be had.
   */
  public HttpCall send(
      InetSocketAddress to, ByteBuffer request, int shard, ResponseReceiver receiver) {
    return send(to, () -> Optional.of(request), shard, receiver);
  }

  /**
   * The same with a request that is made in the moment in which its bytes are written, once its
   * connection is up: what it says of the time left is true then. One that is empty by then is not
   * sent, and fails with {@link RequestFailure#NOT_SENT}.
   */
  public HttpCall send(
      InetSocketAddress to, Supplier<Optional<ByteBuffer>> request, ResponseReceiver receiver) {
    return send(to, request, ConnectionPool.ANY_SHARD, receiver);
  }

  private HttpCall send(
      InetSocketAddress to,
      Supplier<Optional<ByteBuffer>> request,
      int shard,
      ResponseReceiver receiver) {
    ConnectionPool.AddressPool addressPool = pool.forAddress(to);
    boolean full = addressPool.connections() >= options.maxConnectionsPerAddress();
    HttpCall call = new HttpCall(receiver);
    Optional<ClientConnection> idle = addressPool.takeIdle(shard, full);
    if (idle.isPresent()) {
      idle.get().begin(call, request);
    } else if (full || pool.connections() >= options.maxConnections() && !pool.evictOldestIdle()) {
      loop.execute(
          () ->
              call.fail(
                  RequestFailure.LOCAL_LIMIT_REACHED, "all connections to " + to + " are in use"));
    } else {
      connect(addressPool, call, request, shard);
    }
    return call;
  }

  private void connect(
      ConnectionPool.AddressPool addressPool,
      HttpCall call,
      Supplier<Optional<ByteBuffer>> request,
      int shard) {
    ClientConnection connection = new ClientConnection(loop, options, pool, addressPool);
    pool.add(connection);
    connection.assign(call, request);
    InetSocketAddress to = addressPool.address();
    if (shard == ConnectionPool.ANY_SHARD) {
      network.connect(to, options.connectTimeoutMicros(), connection);
    } else {
      network.connect(to, options.connectTimeoutMicros(), shard, connection);
    }
  }

  /** Connections open or coming up, over all addresses. */
  public int openConnections() {
    return pool.connections();
  }

  /** Requests that a connection carries or waits to carry, by address. */
  public Map<InetSocketAddress, Integer> requestsByAddress() {
    return pool.requestsByAddress();
  }

  /** Whether a connection to that address waits to be used. */
  public boolean hasIdleConnection(InetSocketAddress to) {
    return pool.hasIdle(to);
  }
}
