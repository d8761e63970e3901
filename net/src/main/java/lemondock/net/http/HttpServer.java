package lemondock.net.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * An HTTP/1.1 server on a {@link Network}: keep-alive, pipelining (answered one after another),
 * 100-continue, whole or chunked responses. Time limits guard against clients that hold a
 * connection without using it.
 *
 * <p>This class has the listener, the set of unused connections and the counts; {@link
 * ServerConnection} serves one client. Loop thread only, unless a method says otherwise.
 */
public final class HttpServer {
  /** Of the connections, those kept free for who comes next: closing one takes a moment. */
  private static final int SPARE_CONNECTIONS = 8;

  /** At most this part of all connections is kept free. */
  private static final int SPARE_CONNECTIONS_DIVISOR = 16;

  private final Loop loop;
  private final HttpServerOptions options;
  private final HttpService service;

  /** Any thread: what all connections together hold of request bodies. */
  private final ByteBudget bodyBudget;

  // Loop thread only, each from here on:
  /** Connections without a request in progress, the one unused for longest first. */
  private final Set<ServerConnection> unused = new LinkedHashSet<>();

  private int openConnections;
  private int activeExchanges;
  private boolean draining;

  /** Set once by {@link #start}, before any connection comes. */
  private Network.Listener listener;

  /** Makes a server; it listens from {@link #start} on. */
  public HttpServer(Loop loop, HttpServerOptions options, HttpService service) {
    this.loop = loop;
    this.options = options;
    this.service = service;
    this.bodyBudget = new ByteBudget(options.maxBufferedBodyBytes());
  }

  /**
   * Binds the address and accepts connections.
   *
   * @throws IOException if the address cannot be taken
   */
  public void start(Network network, InetSocketAddress address) throws IOException {
    listener = network.listen(address, options.maxConnections(), () -> new ServerConnection(this));
  }

  /** The address bound; tells the port where 0 was asked for. */
  public InetSocketAddress address() {
    return listener.address();
  }

  /** Accepts no new connections; open ones stay. */
  public void stopListening() {
    listener.close();
  }

  /**
   * Begins a graceful shutdown: closes connections between requests, now and whenever a response
   * ends; responses say so.
   */
  public void drain() {
    draining = true;
    List.copyOf(unused).forEach(connection -> connection.closeUnused(true));
  }

  /** Requests whose response is awaited or in progress. */
  public int activeExchanges() {
    return activeExchanges;
  }

  /** Connections open. */
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

  /** Counts a new connection; where places run short the one unused for longest is closed. */
  void connectionOpened() {
    openConnections++;
    int spare = Math.min(SPARE_CONNECTIONS, options.maxConnections() / SPARE_CONNECTIONS_DIVISOR);
    if (options.firstRequestTimeoutMicros() > 0
        && openConnections >= options.maxConnections() - spare
        && !unused.isEmpty()) {
      // those that send nothing must not keep out those that ask
      unused.iterator().next().closeUnused(false);
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
    unused.add(connection);
  }

  void markUsed(ServerConnection connection) {
    unused.remove(connection);
  }
}
