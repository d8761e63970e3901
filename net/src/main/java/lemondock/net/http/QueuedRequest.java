package lemondock.net.http;

import java.util.Optional;

/**
 * A request between the decoder and the service; a heavy one is not prepared yet. Made on an I/O
 * thread, then loop thread only.
 */
final class QueuedRequest {
  private final HttpRequest request;
  private final boolean keepAlive;
  private final boolean acceptsChunks;
  private final boolean heavy;
  private Object prepared;
  private boolean ready;
  private Optional<HttpRejection> rejection = Optional.empty();

  /** Makes a request that is neither prepared nor rejected. */
  QueuedRequest(HttpRequest request, boolean keepAlive, boolean acceptsChunks, boolean heavy) {
    this.request = request;
    this.keepAlive = keepAlive;
    this.acceptsChunks = acceptsChunks;
    this.heavy = heavy;
  }

  HttpRequest request() {
    return request;
  }

  int bodyBytes() {
    return request.body().length;
  }

  boolean keepAlive() {
    return keepAlive;
  }

  boolean acceptsChunks() {
    return acceptsChunks;
  }

  /** Whether workers have to prepare it. */
  boolean needsWorker() {
    return heavy && rejection.isEmpty();
  }

  /** Whether it can be served or rejected. */
  boolean isReady() {
    return ready;
  }

  Object prepared() {
    return prepared;
  }

  /** The response that it gets instead of being served. */
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
