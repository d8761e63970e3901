package lemondock.net.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.net.Loop;

/**
 * The requests of one connection that are not served yet, in their order. Has workers prepare those
 * that need it; what comes behind such a request waits. Loop thread only, but for the preparation.
 */
final class RequestQueue {
  private static final int MAX_PIPELINED_REQUESTS = 16;
  private static final HttpRejection WORKERS_SATURATED =
      new HttpRejection(
          1,
          "text/plain; charset=utf-8",
          "too many requests wait to be read\n".getBytes(StandardCharsets.US_ASCII),
          () -> {});

  private final Loop loop;
  private final HttpService service;
  private final Executor workers;
  private final boolean discardsExcess;
  private final ByteBudget bodyBudget;
  private final Listener listener;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();

  /** Requests were discarded: more came than may be queued. */
  private boolean discarded;

  /** Hears of requests that workers prepare. Loop thread only. */
  interface Listener {
    /** A request may be ready. */
    void requestPrepared();

    /** A request could not be prepared, which is a defect of the service. */
    void preparationFailed();
  }

  RequestQueue(HttpServer server, Listener listener) {
    this.loop = server.loop();
    this.service = server.service();
    this.workers = server.options().workers();
    this.discardsExcess = server.options().discardsExcessRequests();
    this.bodyBudget = server.bodyBudget();
    this.listener = listener;
  }

  /** Adds a request, or discards it if there is no room for it or for one before it. */
  void add(QueuedRequest request) {
    if (discarded || discardsExcess && isFull()) {
      discarded = true;
      bodyBudget.release(request.bodyBytes());
      return;
    }
    queue.add(request);
    if (request.needsWorker()) {
      prepareOnWorker(request);
    }
  }

  private void prepareOnWorker(QueuedRequest request) {
    try {
      workers.execute(() -> prepare(request));
    } catch (RejectedExecutionException e) {
      request.reject(WORKERS_SATURATED);
    }
  }

  /** On a worker's thread. */
  private void prepare(QueuedRequest request) {
    Object prepared;
    try {
      prepared = service.prepare(request.request());
    } catch (RuntimeException | Error e) {
      loop.execute(
          () -> {
            listener.preparationFailed();
            // a defect: the loop reports it
            throw new IllegalStateException("a request could not be prepared", e);
          });
      return;
    }
    loop.execute(
        () -> {
          request.setPrepared(prepared);
          listener.requestPrepared();
        });
  }

  private boolean isFull() {
    return queue.size() >= MAX_PIPELINED_REQUESTS;
  }

  /** Whether more may be read: excess is discarded, or there is room. */
  boolean takesMore() {
    return discardsExcess || !isFull();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Whether requests behind the one taken last were discarded: no more will be served. */
  boolean endedByDiscard() {
    return discarded && queue.isEmpty();
  }

  /** Takes the next request if it can be served or rejected. */
  Optional<QueuedRequest> pollReady() {
    boolean ready = !queue.isEmpty() && queue.peek().isReady();
    return ready ? Optional.of(queue.poll()) : Optional.empty();
  }

  /** The connection is closed: drops all requests. */
  void clear() {
    queue.forEach(request -> bodyBudget.release(request.bodyBytes()));
    queue.clear();
  }
}
