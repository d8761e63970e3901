package lemondock.policy;

import java.util.Comparator;
import java.util.Iterator;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for capacity or for a reader, ordered by priority weight and then by age. A
 * queued request loads no server and reserves no state. Its wait is limited, so that a rejected
 * client still has time to try another gateway.
 */
final class AdmissionQueue {
  /** Longest wait, as a share of the request's latency objective. */
  private static final double MAX_WAIT_OBJECTIVE_SHARE = 0.5;

  /** Number of requests that could not be dispatched after which a scan stops. */
  private static final int MAX_SKIPPED = 8;

  /** Interval of the scan timer; events that free capacity scan earlier. */
  private static final long SCAN_INTERVAL_MICROS = 50_000L;

  private static final Comparator<InFlightRequest> PRIORITY_THEN_AGE =
      Comparator.<InFlightRequest>comparingDouble(
              request -> -request.requestClass().priorityWeight())
          .thenComparing(InFlightRequest::arrivedAtMicros)
          .thenComparing(InFlightRequest::id);

  private final DecisionClock clock;
  private final RouterHost host;
  private final TreeSet<InFlightRequest> queue = new TreeSet<>(PRIORITY_THEN_AGE);
  private boolean scanScheduled;

  AdmissionQueue(DecisionClock clock, RouterHost host) {
    this.clock = clock;
    this.host = host;
  }

  void enqueue(InFlightRequest request) {
    queue.add(request);
    host.trace(request.id(), DecisionReason.QUEUED);
    long longestMicros =
        Math.min(
            (long) (request.objectiveMicros() * MAX_WAIT_OBJECTIVE_SHARE),
            request.attributes().clientTimeoutMicros() / 2);
    long leftMicros = longestMicros - (clock.nowMicros() - request.arrivedAtMicros());
    host.setTimer(RequestTimer.QUEUE_TIMEOUT.token(request.id()), Math.max(0, leftMicros));
    scheduleScan();
  }

  boolean contains(InFlightRequest request) {
    return queue.contains(request);
  }

  void remove(InFlightRequest request) {
    queue.remove(request);
  }

  int size() {
    return queue.size();
  }

  /** Notes that the scan timer has fired, so that the next {@link #scan} sets it again. */
  void scanTimerFired() {
    scanScheduled = false;
  }

  /** Tries to dispatch queued requests in order, and removes those for which it succeeded. */
  void scan(Predicate<InFlightRequest> tryDispatch) {
    Iterator<InFlightRequest> waiting = queue.iterator();
    int skipped = 0;
    while (waiting.hasNext() && skipped < MAX_SKIPPED) {
      if (tryDispatch.test(waiting.next())) {
        waiting.remove();
      } else {
        skipped++;
      }
    }
    scheduleScan();
  }

  private void scheduleScan() {
    if (!scanScheduled && !queue.isEmpty()) {
      scanScheduled = true;
      host.setTimer(RequestTimer.QUEUE_SCAN.token(), SCAN_INTERVAL_MICROS);
    }
  }
}
