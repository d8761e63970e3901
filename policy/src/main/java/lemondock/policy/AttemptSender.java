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

  AttemptSender(
      DecisionClock clock,
      RouterHost host,
      ServerModel servers,
      AdaptiveCapacityLimit capacity,
      AttemptTimeouts timeouts) {
    this.clock = clock;
    this.host = host;
    this.servers = servers;
    this.capacity = capacity;
    this.timeouts = timeouts;
  }

  /** Sends one attempt, records it with its server and its request, and starts its timeout. */
  Attempt send(InFlightRequest request, AttemptPlan plan) {
    Attempt attempt = new Attempt(plan, clock.nowMicros(), request.writeTokens());
    capacity.recordSent(attempt);
    servers.recordSent(attempt);
    request.addAttempt(attempt);
    host.send(request.id(), attempt.server().id(), 0);
    timeouts.start(request, attempt);
    return attempt;
  }
}
