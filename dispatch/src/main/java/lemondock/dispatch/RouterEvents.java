package lemondock.dispatch;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.policy.RequestRouter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports events to the router, one at a time: events are not nested. If the router ends a request
 * while it handles an event, the request's listener is notified after the event. Loop thread only.
 */
final class RouterEvents<P, S, C extends StreamChunk> {
  private static final Logger LOG = LoggerFactory.getLogger(RouterEvents.class);

  private final Loop loop;
  private final RequestTable<P, S, C> requests;
  private final DispatchCounters counters;
  private final ArrayDeque<Runnable> pendingNotifications = new ArrayDeque<>();
  private RequestRouter router;
  private boolean inEvent;

  /** Reports one event by calling the router's method for it with the current time. */
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

  /** Reports an event that does not concern a particular request. */
  void raise(RouterEvent event) {
    report(event, () -> {});
  }

  /**
   * Reports an event about a request. An exception thrown by the router is a defect: the request
   * fails, so that its client receives an answer, and all other requests continue.
   */
  void raise(InFlightRequest<P, S, C> request, RouterEvent event) {
    report(event, () -> requests.find(request.id()).ifPresent(this::fail));
    requests.removeIfFinished(request);
  }

  private void report(RouterEvent event, Runnable onRouterException) {
    if (inEvent) {
      throw new IllegalStateException(
          "a router event was raised while another one is being handled");
    }
    inEvent = true;
    try {
      event.report(router, loop.now());
    } catch (RuntimeException e) {
      LOG.error("the router threw an exception while handling an event", e);
      onRouterException.run();
    } finally {
      inEvent = false;
    }
    for (Runnable next = pendingNotifications.poll();
        next != null;
        next = pendingNotifications.poll()) {
      next.run();
    }
  }

  /**
   * Rejects a request for the router; ignored if it has ended.
   *
   * @param retryAfterMicros advised delay before a retry; 0 for no advice
   */
  void reject(InFlightRequest<P, S, C> request, long retryAfterMicros) {
    if (!request.hasEnded()) {
      counters.requestRejected();
      notifyAfterEvent(request, listener -> listener.rejected(retryAfterMicros));
    }
  }

  /** Fails a request for the router; ignored if it has ended. */
  void fail(InFlightRequest<P, S, C> request) {
    if (!request.hasEnded()) {
      counters.requestFailed();
      notifyAfterEvent(request, RequestListener::failed);
    }
  }

  private void notifyAfterEvent(
      InFlightRequest<P, S, C> request, Consumer<RequestListener<C>> notification) {
    request.end();
    pendingNotifications.add(
        () -> {
          notification.accept(request.listener());
          // a request that a router timer has ended may have no attempt left whose end would
          // remove it
          requests.removeIfFinished(request);
        });
  }
}
