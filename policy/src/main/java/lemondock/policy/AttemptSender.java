package lemondock.policy;

/**
 * The only class that sends attempts. The selectors choose their servers among the candidates of
 * {@link ServerEligibility}.
 */
final class AttemptSender {
  private final DecisionClock clock;
  private final RouterHost host;
  private final ServerModel servers;
  private final AdaptiveCapacityLimit capacity;
  private final AttemptTimeouts timeouts;
  private final RetryPolicy retryPolicy;

  AttemptSender(
      DecisionClock clock,
      RouterHost host,
      ServerModel servers,
      AdaptiveCapacityLimit capacity,
      AttemptTimeouts timeouts,
      RetryPolicy retryPolicy) {
    this.clock = clock;
    this.host = host;
    this.servers = servers;
    this.capacity = capacity;
    this.timeouts = timeouts;
    this.retryPolicy = retryPolicy;
  }

  /** Sends one attempt, records it with its server and its request, and starts its timeout. */
  Attempt send(InFlightRequest request, AttemptPlan plan) {
    final long latestSendMicros = retryPolicy.latestSendMicros(request, plan.work());
    Attempt attempt = new Attempt(plan, clock.nowMicros(), request.writeTokens());
    capacity.recordSent(attempt);
    servers.recordSent(attempt);
    request.addAttempt(attempt);
    host.send(request.id(), attempt.server().id(), 0, latestSendMicros);
    timeouts.start(request, attempt);
    return attempt;
  }
}
