package lemondock.net.http;

import java.util.Optional;

/**
 * A decoded request that waits to be served; a heavy one is not prepared yet. Created on an I/O
 * thread, then loop thread only.
 */
final class QueuedRequest {
  private final HttpRequest request;
  private final long headBytes;
  private final boolean keepAlive;
  private final boolean acceptsChunks;
  private final boolean heavy;
  private Object prepared;
  private boolean ready;
  private Optional<HttpRejection> rejection = Optional.empty();

  /**
   * Creates a request that is neither prepared nor rejected.
   *
   * @param headBytes bytes that are reserved in the budget for its head
   */
  QueuedRequest(
      HttpRequest request,
      long headBytes,
      boolean keepAlive,
      boolean acceptsChunks,
      boolean heavy) {
    this.request = request;
    this.headBytes = headBytes;
    this.keepAlive = keepAlive;
    this.acceptsChunks = acceptsChunks;
    this.heavy = heavy;
  }

  HttpRequest request() {
    return request;
  }

  /** Bytes that are reserved in the budget for the body. */
  int bodyBytes() {
    return request.body().length;
  }

  /** Bytes that are reserved in the budget for head and body. */
  long reservedBytes() {
    return headBytes + request.body().length;
  }

  boolean keepAlive() {
    return keepAlive;
  }

  boolean acceptsChunks() {
    return acceptsChunks;
  }

  /** Whether a worker has to prepare the request. */
  boolean needsWorker() {
    return heavy && rejection.isEmpty();
  }

  /** Whether the request is prepared or rejected, so that it can be answered. */
  boolean isReady() {
    return ready;
  }

  Object prepared() {
    return prepared;
  }

  /** The response that is sent instead of serving the request, if it is rejected. */
  Optional<HttpRejection> rejection() {
    return rejection;
  }

  void setPrepared(Object result) {
    prepared = result;
    ready = true;
  }

  void reject(HttpRejection response) {
    rejection = Optional.of(response);
    ready = true;
  }
}
