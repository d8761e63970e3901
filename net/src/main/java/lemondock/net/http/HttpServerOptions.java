package lemondock.net.http;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

/**
 * What an {@link HttpServer} holds its clients to; times in microseconds. Made by a {@link
 * Builder}.
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

  /** Begins options whose sizes and timeouts are still to be set. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Collects the options of a server. The limits, the connections, the buffered bodies and the
   * timeouts have to be set, but for that of the first request; without a word of {@link
   * #heavyBodies} no request is heavy.
   */
  public static final class Builder {
    private HttpLimits limits;
    private Integer maxConnections;
    private Long maxBufferedBodyBytes;
    private Long idleTimeoutMicros;
    private Long requestTimeoutMicros;
    private Long stallTimeoutMicros;
    private int heavyBodyBytes = Integer.MAX_VALUE;
    private Executor workers = Runnable::run;
    private long firstRequestTimeoutMicros;
    private boolean discardsExcessRequests;

    private Builder() {}

    /** Sizes of the messages that are accepted. */
    public Builder limits(HttpLimits value) {
      limits = value;
      return this;
    }

    /** Connections open at a time. */
    public Builder maxConnections(int value) {
      maxConnections = value;
      return this;
    }

    /** Bytes of request bodies held at a time, over all connections. */
    public Builder maxBufferedBodyBytes(long value) {
      maxBufferedBodyBytes = value;
      return this;
    }

    /** Time without a request after which a connection is closed. */
    public Builder idleTimeoutMicros(long value) {
      idleTimeoutMicros = value;
      return this;
    }

    /** Time from a request's first byte to its last. */
    public Builder requestTimeoutMicros(long value) {
      requestTimeoutMicros = value;
      return this;
    }

    /** Time without progress of a response after which its connection is aborted. */
    public Builder stallTimeoutMicros(long value) {
      stallTimeoutMicros = value;
      return this;
    }

    /** Body size from which on requests are prepared by that executor. */
    public Builder heavyBodies(int fromBytes, Executor preparedBy) {
      heavyBodyBytes = fromBytes;
      workers = preparedBy;
      return this;
    }

    /** Time from the accept until the first request must be complete; 0 for no such limit. */
    public Builder firstRequestTimeoutMicros(long value) {
      firstRequestTimeoutMicros = value;
      return this;
    }

    /** Reads and discards requests beyond those that may be queued on a connection. */
    public Builder discardExcessRequests() {
      discardsExcessRequests = true;
      return this;
    }

    /**
     * The options.
     *
     * @throws NullPointerException if one that has to be set is not; the message names it
     */
    public HttpServerOptions build() {
      return new HttpServerOptions(
          Objects.requireNonNull(limits, "limits"),
          Objects.requireNonNull(maxConnections, "maxConnections"),
          Objects.requireNonNull(maxBufferedBodyBytes, "maxBufferedBodyBytes"),
          Objects.requireNonNull(idleTimeoutMicros, "idleTimeoutMicros"),
          Objects.requireNonNull(requestTimeoutMicros, "requestTimeoutMicros"),
          Objects.requireNonNull(stallTimeoutMicros, "stallTimeoutMicros"),
          heavyBodyBytes,
          workers,
          firstRequestTimeoutMicros,
          discardsExcessRequests);
    }
  }
}
