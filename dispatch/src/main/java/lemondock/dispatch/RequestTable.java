package lemondock.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The requests in flight, by id. The admission control of the front ends bounds their number. Loop
 * thread only.
 */
final class RequestTable<P, S, C extends StreamChunk> {
  private final Map<Long, InFlightRequest<P, S, C>> requests = new HashMap<>();
  private long nextId = 1;

  InFlightRequest<P, S, C> add(DispatchedRequest<P> request, RequestListener<C> listener) {
    InFlightRequest<P, S, C> added = new InFlightRequest<>(nextId++, request, listener);
    requests.put(added.id(), added);
    return added;
  }

  Optional<InFlightRequest<P, S, C>> find(long id) {
    return Optional.ofNullable(requests.get(id));
  }

  Collection<InFlightRequest<P, S, C>> inFlight() {
    return requests.values();
  }

  int size() {
    return requests.size();
  }

  /** Removes the request if it has ended and none of its attempts is in flight. */
  void removeIfFinished(InFlightRequest<P, S, C> request) {
    if (request.hasEnded() && !request.hasAttemptInFlight()) {
      requests.remove(request.id());
    }
  }
}
