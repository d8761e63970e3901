package lemondock.net.http;

/** Is told what happens to the connections of an {@link HttpServer}. Loop thread only. */
public interface HttpServerListener {
  /** Ignores everything. */
  HttpServerListener NONE = end -> {};

  /** A connection has ended. */
  void connectionEnded(ConnectionEnd end);
}
