package lemondock.dispatch;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.policy.RequestRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports events to the router, one at a time: no event is raised within an event. A final answer
 * that the router gives within an event reaches the request's listener once the event is over. Loop
 * thread only.
 */
final class RouterEvents<P, S, C extends StreamChunk> {
  private static final Logger LOG = LoggerFactory.getLogger(RouterEvents.class);

  private final Loop loop;
  private final RequestTable<P, S, C> requests;
  private final DispatchCounters counters;
  private final ArrayDeque<Runnable> finalAnswers = new ArrayDeque<>();
  private RequestRouter router;
  private boolean inEvent;

  /** An event, reported with the time at which it is reported. */
  interface RouterEvent {
    void report(RequestRouter router, long nowMicros);
  }

  RouterEvents(Loop loop, RequestTable<P, S, C> requests, DispatchCounters counters) {
    this.loop = loop;
    this.requests = requests;
    this.counters = counters;
  }

  /** Sets the router, once, before the first event. */
  void setRouter(RequestRouter router) {
    this.router = router;
  }

  RequestRouter router() {
    return router;
  }

  /** Raises an event that is about no single request. */
  void raise(RouterEvent event) {
    report(event, () -> {});
  }

  /**
   * Raises an event about a request. An exception of the router is a defect: the request is failed,
   * so that its client gets an answer, and everything else goes on.
   */
  void raise(InFlightRequest<P, S, C> request, RouterEvent event) {
    report(event, () -> requests.find(request.id()).ifPresent(this::fail));
    requests.removeIfFinished(request);
  }

  private void report(RouterEvent event, Runnable onDefect) {
    if (inEvent) {
      throw new IllegalStateException("an event within an event");
    }
    inEvent = true;
    try {
      event.report(router, loop.now());
    } catch (RuntimeException e) {
      LOG.error("the router threw an exception", e);
      onDefect.run();
    } finally {
      inEvent = false;
    }
    for (Runnable next = finalAnswers.poll(); next != null; next = finalAnswers.poll()) {
      next.run();
    }
  }

  /** The router rejects a request; 0: without advice when to retry. */
  void reject(InFlightRequest<P, S, C> request, long retryAfterMicros) {
    if (!request.hasEnded()) {
      counters.requestRejected();
      answerAfterEvent(request, listener -> listener.rejected(retryAfterMicros));
    }
  }

  /** The router gives up a request. */
  void fail(InFlightRequest<P, S, C> request) {
    if (!request.hasEnded()) {
      counters.requestFailed();
      answerAfterEvent(request, RequestListener::failed);
    }
  }

  private void answerAfterEvent(
      InFlightRequest<P, S, C> request, Consumer<RequestListener<C>> answer) {
    request.end();
    finalAnswers.add(
        () -> {
          answer.accept(request.listener());
          // a timer may have ended it, with no attempt left whose end would remove it
          requests.removeIfFinished(request);
        });
  }
}
