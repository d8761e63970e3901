package lemondock.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * An HTTP/1.1 server on a {@link Network}: keep-alive, pipelining (requests are served one after
 * another), 100-continue, complete or chunked responses. Timeouts protect it from clients that hold
 * a connection without using it.
 *
 * <p>This class owns the listener, the set of unused connections and the counters; {@link
 * ServerConnection} serves one client. Loop thread only, unless a method says otherwise.
 */
public final class HttpServer {
  /**
   * Maximum number of connections kept free for new clients, because closing a connection takes
   * time.
   */
  private static final int SPARE_CONNECTIONS = 8;

  /** At most one connection in this many is kept free. */
  private static final int SPARE_CONNECTIONS_DIVISOR = 16;

  private final Loop loop;
  private final HttpServerOptions options;
  private final HttpService service;

  /** Bytes of request bodies that all connections together hold. Any thread. */
  private final ByteBudget bodyBudget;

  // All fields below: loop thread only.
  /** Connections without a request in progress, the one that has been unused longest first. */
  private final Set<ServerConnection> unusedConnections = new LinkedHashSet<>();

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
    this.bodyBudget = new ByteBudget(options.maxBufferedBodyBytes());
  }

  /**
   * Binds the address and accepts connections.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start(Network network, InetSocketAddress address) throws IOException {
    listener = network.listen(address, options.maxConnections(), () -> new ServerConnection(this));
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
    List.copyOf(unusedConnections)
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
    return bodyBudget;
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Counts a new connection. If the time until the first request is limited and few more
   * connections can be accepted, closes the one that has been unused longest.
   */
  void connectionOpened() {
    openConnections++;
    int spare = Math.min(SPARE_CONNECTIONS, options.maxConnections() / SPARE_CONNECTIONS_DIVISOR);
    if (options.firstRequestTimeoutMicros() > 0
        && openConnections >= options.maxConnections() - spare
        && !unusedConnections.isEmpty()) {
      // clients that send nothing must not lock out clients that send requests
      unusedConnections.iterator().next().closeUnused(CloseReason.EVICTED, false);
    }
  }

  void connectionClosed() {
    openConnections--;
  }

  void exchangeStarted() {
    activeExchanges++;
  }

  void exchangeEnded() {
    activeExchanges--;
  }

  void markUnused(ServerConnection connection) {
    unusedConnections.add(connection);
  }

  void markUsed(ServerConnection connection) {
    unusedConnections.remove(connection);
  }
}
