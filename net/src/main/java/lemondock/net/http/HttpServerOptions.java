package lemondock.net.http;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * What an {@link HttpServer} holds its clients to; times in microseconds.
 *
 * @param limits sizes of the messages that are accepted
 * @param maxConnections connections open at a time
 * @param maxBufferedBodyBytes bytes of request bodies held at a time, over all connections
 * @param idleTimeoutMicros time without a request after which a connection is closed
 * @param requestTimeoutMicros time from a request's first byte to its last
 * @param stallTimeoutMicros time without progress of a response after which its connection is
 *     aborted
 * @param heavyBodyBytes body size from which on a request is prepared by {@code workers} instead of
 *     its shard's I/O thread, where the streams of that shard would wait for it
 * @param workers executor for heavy requests; may throw {@link RejectedExecutionException} when it
 *     is saturated
 * @param firstRequestTimeoutMicros time from the accept until the first request must be complete, 0
 *     if only the other limits apply; where it is set, the connection unused for longest is closed
 *     to make room for another when all are taken
 * @param discardsExcessRequests whether requests beyond those that may be queued on a connection
 *     are read and discarded, to be sent again on another connection as the last response's {@code
 *     connection: close} says: for clients that send one request at a time and whose close must be
 *     seen whatever they sent before it. Otherwise they are not read until there is room
 */
public record HttpServerOptions(
    HttpLimits limits,
    int maxConnections,
    long maxBufferedBodyBytes,
    long idleTimeoutMicros,
    long requestTimeoutMicros,
    long stallTimeoutMicros,
    int heavyBodyBytes,
    Executor workers,
    long firstRequestTimeoutMicros,
    boolean discardsExcessRequests) {

  /** Options for a server whose clients may open connections ahead of their requests. */
  public HttpServerOptions(
      HttpLimits limits,
      int maxConnections,
      long maxBufferedBodyBytes,
      long idleTimeoutMicros,
      long requestTimeoutMicros,
      long stallTimeoutMicros,
      int heavyBodyBytes,
      Executor workers) {
    this(
        limits,
        maxConnections,
        maxBufferedBodyBytes,
        idleTimeoutMicros,
        requestTimeoutMicros,
        stallTimeoutMicros,
        heavyBodyBytes,
        workers,
        0,
        false);
  }

  /** Options for a server without heavy requests. */
  public HttpServerOptions(
      HttpLimits limits,
      int maxConnections,
      long maxBufferedBodyBytes,
      long idleTimeoutMicros,
      long requestTimeoutMicros,
      long stallTimeoutMicros) {
    this(
        limits,
        maxConnections,
        maxBufferedBodyBytes,
        idleTimeoutMicros,
        requestTimeoutMicros,
        stallTimeoutMicros,
        Integer.MAX_VALUE,
        Runnable::run);
  }
}
