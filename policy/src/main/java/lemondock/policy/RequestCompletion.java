package lemondock.policy;

import java.util.Map;

/**
 * Ends requests. Enforces rule 1: the router gives each request exactly one final answer, unless
 * its stream or its client has ended it first. It rejects a request, which invites the client to
 * retry, only if a retry is harmless; otherwise it fails the request.
 */
final class RequestCompletion {
  /** Retry-After of a rejection, unless the deployment limits it to less. */
  private static final long RETRY_AFTER_MICROS = 500_000L;

  private final DeploymentLimits limits;
  private final RouterHost host;
  private final StateReleasePolicy stateReleases;
  private final AdmissionQueue queue;
  private final Map<Long, InFlightRequest> inFlight;

  RequestCompletion(
      DeploymentLimits limits,
      RouterHost host,
      StateReleasePolicy stateReleases,
      AdmissionQueue queue,
      Map<Long, InFlightRequest> inFlight) {
    this.limits = limits;
    this.host = host;
    this.stateReleases = stateReleases;
    this.queue = queue;
    this.inFlight = inFlight;
  }

  /** Gives the final answer, rejected or failed, and cancels the attempts in flight. */
  void complete(InFlightRequest request, DecisionReason reason) {
    request.end();
    host.trace(request.id(), reason);
    if (isSafeToRetry(request)) {
      host.reject(request.id(), retryAfterMicros());
    } else {
      host.fail(request.id());
    }
    cancelAttempts(request);
  }

  /** Ends the request of a disconnected client without an answer, and cancels its attempts. */
  void abandon(InFlightRequest request) {
    request.end();
    cancelAttempts(request);
  }

  private static boolean isSafeToRetry(InFlightRequest request) {
    Idempotency idempotency = request.requestClass().idempotency();
    return idempotency == Idempotency.IDEMPOTENT
        || request.possibleEffect().isEmpty() && !request.hasAttemptInFlight()
        || idempotency == Idempotency.IDEMPOTENCY_KEY
            && request.requestClass().deduplicationScope() == DeduplicationScope.ALL;
  }

  private long retryAfterMicros() {
    return limits.sendsRetryAfter()
        ? Math.min(RETRY_AFTER_MICROS, limits.maxRetryAfterMicros())
        : 0;
  }

  private void cancelAttempts(InFlightRequest request) {
    if (limits.mayCancel() && !request.isStreaming()) {
      request.attemptIndexesInFlight().forEach(index -> host.cancel(request.id(), index));
    }
    stateReleases.releaseIfIdle(request);
    removeIfEnded(request);
  }

  /**
   * Removes the request from the queue and, once it has ended and has no attempt in flight, from
   * the requests in flight.
   */
  void removeIfEnded(InFlightRequest request) {
    queue.remove(request);
    if (request.hasEnded() && !request.hasAttemptInFlight()) {
      inFlight.remove(request.id());
    }
  }
}
