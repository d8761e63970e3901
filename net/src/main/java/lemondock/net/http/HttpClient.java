package lemondock.net.http;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * An HTTP/1.1 client with pooled connections, one request at a time on each. The client keeps
 * reading idle connections, so a connection that its peer closes leaves the pool immediately. A
 * {@link RequestFailure} tells whether the server can have received the request. Loop thread only.
 */
public final class HttpClient {
  private final Loop loop;
  private final Network network;
  private final HttpClientOptions options;
  private final ConnectionPool pool = new ConnectionPool();

  /** Creates a client without connections. */
  public HttpClient(Loop loop, Network network, HttpClientOptions options) {
    this.loop = loop;
    this.network = network;
    this.options = options;
  }

  /** Sends a request; the receiver is not called before this method returns. */
  public HttpCall send(InetSocketAddress to, ByteBuffer request, ResponseReceiver receiver) {
    return send(to, OutgoingRequest.withoutLimit(request), ConnectionPool.ANY_SHARD, receiver);
  }

  /**
   * Sends a request over a connection of the given shard; takes an idle connection of another shard
   * only if the connection limit of the address is reached.
   */
  public HttpCall send(
      InetSocketAddress to, OutgoingRequest request, int shard, ResponseReceiver receiver) {
    return send(to, () -> Optional.of(request), shard, receiver);
  }

  /**
   * Sends a request that the supplier builds only once a connection is established and the bytes
   * are about to be written, so that the remaining time stated in the request is accurate. If the
   * supplier returns empty, nothing is sent and the call fails with {@link
   * RequestFailure#NOT_SENT}.
   */
  public HttpCall send(
      InetSocketAddress to,
      Supplier<Optional<OutgoingRequest>> request,
      ResponseReceiver receiver) {
    return send(to, request, ConnectionPool.ANY_SHARD, receiver);
  }

  private HttpCall send(
      InetSocketAddress to,
      Supplier<Optional<OutgoingRequest>> request,
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
      Supplier<Optional<OutgoingRequest>> request,
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

  /** Number of connections that are open or being opened, over all addresses. */
  public int openConnections() {
    return pool.connections();
  }

  /**
   * Number of requests in progress, by address, including those whose connection is being opened.
   */
  public Map<InetSocketAddress, Integer> requestsByAddress() {
    return pool.requestsByAddress();
  }

  /** Whether there is an idle connection to the address. */
  public boolean hasIdleConnection(InetSocketAddress to) {
    return pool.hasIdle(to);
  }
}
