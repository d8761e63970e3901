package lemondock.net.http;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.net.ByteBudget;

/**
 * Limits that an {@link HttpServer} imposes on its clients; times in microseconds. Created by a
 * {@link Builder}.
 *
 * @param limits size limits of accepted messages
 * @param maxConnections maximum number of open connections
 * @param bodyBudget budget of the requests held at a time, over all connections; may be shared with
 *     others that hold requests
 * @param idleTimeoutMicros time without a request after which a connection is closed
 * @param requestTimeoutMicros time limit from the first byte of a request to its last
 * @param stallTimeoutMicros time without progress in sending a response after which its connection
 *     is aborted
 * @param heavyBodyBytes minimum body size of a heavy request. Heavy requests are prepared by {@code
 *     workers} instead of the I/O thread of their shard, where they would delay the streams of that
 *     shard
 * @param workers executor that prepares heavy requests; may throw {@link
 *     RejectedExecutionException} if it is saturated
 * @param firstRequestTimeoutMicros time after the accept within which the first request must be
 *     complete; 0 if only the other limits apply. If it is set, the connection that has been unused
 *     longest is closed to make room for a new one when few connections are left
 * @param discardsExcessRequests whether requests beyond the queue limit of a connection are read
 *     and discarded. Once the queued ones have their responses, the discarded ones get 503, the
 *     last of them with {@code connection: close}. Meant for clients that send one request at a
 *     time and whose disconnect must be detected whatever they sent before it. If false, excess
 *     requests are not read until there is room in the queue
 * @param listener is told of the ends of connections
 */
public record HttpServerOptions(
    HttpLimits limits,
    int maxConnections,
    ByteBudget bodyBudget,
    long idleTimeoutMicros,
    long requestTimeoutMicros,
    long stallTimeoutMicros,
    int heavyBodyBytes,
    Executor workers,
    long firstRequestTimeoutMicros,
    boolean discardsExcessRequests,
    HttpServerListener listener) {

  /** Creates a builder whose limits and timeouts are still to be set. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Builder of server options. All limits and timeouts are required except the timeout of the first
   * request. If {@link #heavyBodies} is not called, no request is heavy.
   */
  public static final class Builder {
    private HttpLimits limits;
    private Integer maxConnections;
    private ByteBudget bodyBudget;
    private Long idleTimeoutMicros;
    private Long requestTimeoutMicros;
    private Long stallTimeoutMicros;
    private int heavyBodyBytes = Integer.MAX_VALUE;
    private Executor workers = Runnable::run;
    private long firstRequestTimeoutMicros;
    private boolean discardsExcessRequests;
    private HttpServerListener listener = HttpServerListener.NONE;

    private Builder() {}

    /** Sets the size limits of accepted messages. */
    public Builder limits(HttpLimits value) {
      limits = value;
      return this;
    }

    /** Sets the maximum number of open connections. */
    public Builder maxConnections(int value) {
      maxConnections = value;
      return this;
    }

    /** Sets the maximum bytes of request bodies held at a time, over all connections. */
    public Builder maxBufferedBodyBytes(long value) {
      return bodyBudget(new ByteBudget(value));
    }

    /**
     * Sets the budget in which request bodies are reserved, in place of one of the server's own.
     */
    public Builder bodyBudget(ByteBudget value) {
      bodyBudget = value;
      return this;
    }

    /** Sets the time without a request after which a connection is closed. */
    public Builder idleTimeoutMicros(long value) {
      idleTimeoutMicros = value;
      return this;
    }

    /** Sets the time limit from the first byte of a request to its last. */
    public Builder requestTimeoutMicros(long value) {
      requestTimeoutMicros = value;
      return this;
    }

    /**
     * Sets the time without progress in sending a response after which its connection is aborted.
     */
    public Builder stallTimeoutMicros(long value) {
      stallTimeoutMicros = value;
      return this;
    }

    /** Sets the minimum body size of heavy requests and the executor that prepares them. */
    public Builder heavyBodies(int minBodyBytes, Executor executor) {
      heavyBodyBytes = minBodyBytes;
      workers = executor;
      return this;
    }

    /** Sets the time limit from the accept to the end of the first request; 0 for no limit. */
    public Builder firstRequestTimeoutMicros(long value) {
      firstRequestTimeoutMicros = value;
      return this;
    }

    /** Reads and discards requests beyond the queue limit of a connection. */
    public Builder discardExcessRequests() {
      discardsExcessRequests = true;
      return this;
    }

    /** Sets who is told of the ends of connections. */
    public Builder listener(HttpServerListener value) {
      listener = value;
      return this;
    }

    /**
     * Creates the options.
     *
     * @throws NullPointerException if a required option is not set; the message names it
     */
    public HttpServerOptions build() {
      return new HttpServerOptions(
          Objects.requireNonNull(limits, "limits"),
          Objects.requireNonNull(maxConnections, "maxConnections"),
          Objects.requireNonNull(bodyBudget, "bodyBudget"),
          Objects.requireNonNull(idleTimeoutMicros, "idleTimeoutMicros"),
          Objects.requireNonNull(requestTimeoutMicros, "requestTimeoutMicros"),
          Objects.requireNonNull(stallTimeoutMicros, "stallTimeoutMicros"),
          heavyBodyBytes,
          workers,
          firstRequestTimeoutMicros,
          discardsExcessRequests,
          listener);
    }
  }
}
