package lemondock.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import lemondock.net.ByteBudget;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * An HTTP/1.1 server on a {@link Network}: keep-alive, pipelining (requests are served one after
 * another), 100-continue, complete or chunked responses. Timeouts protect it from clients that hold
 * a connection without using it.
 *
 * <p>When few connections are left, those on which no client is owed a response make room for new
 * ones ({@link EvictionOrder}); if there are none, the requests of a new connection are rejected.
 *
 * <p>This class owns the listener, the eviction of connections and the counters; {@link
 * ServerConnection} serves one client. Loop thread only, unless a method says otherwise.
 */
public final class HttpServer {
  /**
   * Maximum number of connections kept free for new clients, because closing a connection takes
   * time. On the last half of them requests are rejected.
   */
  private static final int SPARE_CONNECTIONS = 8;

  /** At most one connection in this many is kept free. */
  private static final int SPARE_CONNECTIONS_DIVISOR = 16;

  /**
   * For this many connections, one more may be open while it is being closed to make room: a new
   * connection is closed unread only if even these are used up.
   */
  private static final int CLOSING_CONNECTIONS_DIVISOR = 8;

  private final Loop loop;
  private final HttpServerOptions options;
  private final HttpService service;

  // All fields below: loop thread only.
  private final EvictionOrder evictionOrder = new EvictionOrder();

  /** Connections that were evicted, but are not closed yet. */
  private final Set<ServerConnection> evicted = new HashSet<>();

  private int openConnections;
  private int activeExchanges;
  private boolean draining;

  /** Set once by {@link #start}, before any connection is accepted. */
  private Network.Listener listener;

  /** Creates a server, which does not listen before {@link #start}. */
  public HttpServer(Loop loop, HttpServerOptions options, HttpService service) {
    this.loop = loop;
    this.options = options;
    this.service = service;
  }

  /**
   * Binds the address and accepts connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start(Network network, InetSocketAddress address) throws IOException {
    int maxAccepted = options.maxConnections();
    if (makesRoom()) {
      maxAccepted += options.maxConnections() / CLOSING_CONNECTIONS_DIVISOR;
    }
    listener = network.listen(address, maxAccepted, () -> new ServerConnection(this));
  }

  /** The bound address, with the actual port if port 0 was requested. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Stops accepting new connections; open ones are kept. */
  public void stopListening() {
    listener.close();
  }

  /**
   * Begins a graceful shutdown: closes connections without a request in progress, now and after
   * each response; responses carry {@code connection: close}.
   */
  public void drain() {
    draining = true;
    evictionOrder
        .unused()
        .forEach(connection -> connection.closeUnused(CloseReason.DRAINING, true));
  }

  /** Number of requests whose response is not complete. */
  public int activeExchanges() {
    return activeExchanges;
  }

  /** Number of open connections. */
  public int openConnections() {
    return openConnections;
  }

  Loop loop() {
    return loop;
  }

  HttpServerOptions options() {
    return options;
  }

  HttpService service() {
    return service;
  }

  ByteBudget bodyBudget() {
    return options.bodyBudget();
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Counts a new connection. If few more can be accepted, others make room.
   *
   * @return whether the connection may be used; if not, its requests are to be rejected
   */
  boolean connectionOpened() {
    openConnections++;
    return !makesRoom() || makeRoom();
  }

  private boolean makesRoom() {
    return options.firstRequestTimeoutMicros() > 0;
  }

  /**
   * Evicts connections until enough can be accepted, or until a client is owed a response on all
   * that are left.
   *
   * @return whether there is room for the connection that was opened last
   */
  private boolean makeRoom() {
    int spare = Math.min(SPARE_CONNECTIONS, options.maxConnections() / SPARE_CONNECTIONS_DIVISOR);
    int owed = openConnections - 1 - evicted.size() - evictionOrder.size();
    int excess = openConnections - evicted.size() - (options.maxConnections() - spare) + 1;
    for (int i = 0; i < excess; i++) {
      evictionOrder.poll(loop.now()).ifPresent(this::evict);
    }
    return owed < options.maxConnections() - spare / 2;
  }

  private void evict(EvictionOrder.Candidate candidate) {
    ServerConnection connection = candidate.connection();
    evicted.add(connection);
    switch (candidate.claim()) {
      case CLOSING_AFTER_ERROR -> connection.abort(CloseReason.EVICTED);
      case UNUSED -> connection.closeUnused(CloseReason.EVICTED, false);
      case INCOMPLETE_REQUEST -> connection.evictIncompleteRequest();
      default -> throw new IllegalArgumentException("unknown claim " + candidate.claim());
    }
  }

  void connectionClosed(ServerConnection connection) {
    openConnections--;
    evicted.remove(connection);
    evictionOrder.remove(connection);
  }

  void exchangeStarted() {
    activeExchanges++;
  }

  void exchangeEnded() {
    activeExchanges--;
  }

  /** Records that no client is owed a response on a connection, and what it is kept for. */
  void setClaim(ServerConnection connection, EvictionOrder.Claim claim) {
    evictionOrder.set(connection, claim, loop.now());
  }

  /** Records that a connection is not evicted: its client is owed a response, or it closes. */
  void keep(ServerConnection connection) {
    evictionOrder.remove(connection);
  }

  /** Records that a connection stays open although it was evicted, because input has arrived. */
  void evictionCancelled(ServerConnection connection) {
    evicted.remove(connection);
  }
}
