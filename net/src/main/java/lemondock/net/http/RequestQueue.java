package lemondock.net.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import lemondock.net.ByteBudget;
import lemondock.net.Loop;

/**
 * The requests of one connection that wait to be served, in order. Heavy requests are prepared by
 * workers, and the requests behind them wait. Loop thread only, except the preparation.
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

  /** Number of requests discarded because the queue was full. */
  private int discardedRequests;

  /** Notified of requests that workers prepare. Loop thread only. */
  interface Listener {
    /** A worker has prepared a request, so the next one may be ready. */
    void requestPrepared();

    /** The preparation of a request threw an exception, which is a defect of the service. */
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

  /**
   * Adds a request. If excess requests are to be discarded, counts and discards it when the queue
   * is full or an earlier request was discarded.
   */
  void add(QueuedRequest request) {
    if (discardedRequests > 0 || discardsExcess && isFull()) {
      discardedRequests++;
      bodyBudget.release(request.reservedBytes());
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

  /** Runs on a worker thread. */
  private void prepare(QueuedRequest request) {
    Object prepared;
    try {
      prepared = service.prepare(request.request());
    } catch (RuntimeException | Error e) {
      loop.execute(
          () -> {
            listener.preparationFailed();
            // a defect, which the loop reports
            throw new IllegalStateException(
                "preparing request "
                    + request.request().method()
                    + " "
                    + request.request().target()
                    + " failed",
                e);
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

  /** Whether to read more: there is room, or excess requests are discarded. */
  boolean mayReadMore() {
    return discardsExcess || !isFull();
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Number of requests that wait to be served. */
  int size() {
    return queue.size();
  }

  /** Number of requests that were discarded; all of them followed those that were queued. */
  int discardedRequests() {
    return discardedRequests;
  }

  /** Removes and returns the next request if it is ready. */
  Optional<QueuedRequest> pollReady() {
    boolean ready = !queue.isEmpty() && queue.peek().isReady();
    return ready ? Optional.of(queue.poll()) : Optional.empty();
  }

  /** Drops all requests and releases their budget; called when the connection is closed. */
  void clear() {
    queue.forEach(request -> bodyBudget.release(request.reservedBytes()));
    queue.clear();
  }
}
