package lemondock.policy;

import java.util.Map;

/**
 * Ends requests. Guards rule 1: each request gets exactly one final answer from the router, unless
 * its stream or its client ended it first; and a rejection, which invites the client to try again,
 * only where that is harmless.
 */
final class RequestCompletion {
  /** Advice to a rejected client when to come back. */
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

  /** Gives the one final answer and ends what is in flight. */
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

  /** The client has left and is owed nothing: ends what is in flight. */
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
    if (limits.mayCancel() && !request.streaming()) {
      request.attemptNumbersInFlight().forEach(number -> host.cancel(request.id(), number));
    }
    stateReleases.releaseIfIdle(request);
    forgetIfEnded(request);
  }

  /** Takes the request out of the queue, and out of all once it is over. */
  void forgetIfEnded(InFlightRequest request) {
    queue.remove(request);
    if (request.ended() && !request.hasAttemptInFlight()) {
      inFlight.remove(request.id());
    }
  }
}
