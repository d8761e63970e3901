package lemondock.policy;

/**
 * Limits the load of servers in slow start: a server that has just started can take less than a
 * warm one, and all gateways discover it at once. Each gateway earns credit for such a server in a
 * token bucket. A request of mean size costs one credit, and each gateway starts with a random
 * fraction of one, so that all of them together do not send a burst.
 */
final class SlowStart {
  /** Requests sent to a server in slow start, as a fraction of the rate that overloads it. */
  private static final double SAFETY_FACTOR = 0.85;

  /** Lower bound of the relative speed of a starting server, if the settings specify less. */
  private static final double MIN_SPEED = 0.1;

  /** Lower bound of the credit that a request costs. */
  private static final double MIN_REQUEST_COST = 0.2;

  /** Lower bound of the rate at which all gateways together use a server in slow start. */
  private static final double MIN_REQUESTS_PER_SECOND = 1.0;

  private final ServiceRules rules;
  private final int gatewayCount;
  private final ServerTable servers;
  private final DecisionClock clock;

  /** Moving average of the tokens of prompt and answer; 0 before the first request. */
  private double meanRequestTokens;

  SlowStart(RouterSettings settings, ServerTable servers, DecisionClock clock) {
    this.rules = settings.rules();
    this.gatewayCount = settings.gatewayCount();
    this.servers = servers;
    this.clock = clock;
  }

  /** Whether the server started so recently that it is still in slow start. */
  boolean isWarmingUp(ServerState server) {
    long startedAt = server.entry().startedAtMicros();
    return startedAt > 0 && clock.nowMicros() - startedAt <= rules.slowStartMicros();
  }

  /**
   * The speed of the server relative to a warm one: grows linearly during slow start, from the
   * initial share in the settings to 1.
   */
  double relativeSpeed(ServerState server) {
    if (!isWarmingUp(server)) {
      return 1;
    }
    double initialSpeed = Math.min(1, Math.max(MIN_SPEED, rules.slowStartInitialShare()));
    long ageMicros = clock.nowMicros() - server.entry().startedAtMicros();
    return initialSpeed + (1 - initialSpeed) * ageMicros / rules.slowStartMicros();
  }

  /**
   * Whether a request may be sent to the server, always true for a warm one. First adds the credit
   * earned since the last call.
   */
  boolean hasCredit(ServerState server) {
    if (!isWarmingUp(server)) {
      return true;
    }
    double shareOfWarmRate = relativeSpeed(server) * rules.overloadFactor() * SAFETY_FACTOR;
    double minPerSecond = MIN_REQUESTS_PER_SECOND / Math.max(1, gatewayCount);
    double earnedPerSecond =
        Math.max(warmAnswersPerSecond(server.roleStatistics()) * shareOfWarmRate, minPerSecond);
    server.slowStartCredit().earn(earnedPerSecond, clock.nowMicros());
    return server.slowStartCredit().hasRequestCredit();
  }

  /** Subtracts the cost of an attempt that is sent to the server. */
  void spendCredit(ServerState server, long tokens) {
    server.slowStartCredit().spend(Math.max(MIN_REQUEST_COST, tokens / meanRequestTokens));
  }

  /** Updates the mean request size with a request that has arrived. */
  void recordRequest(long tokens) {
    double weight = meanRequestTokens == 0 ? 1 : RoleStatistics.WEIGHT;
    meanRequestTokens += weight * (tokens - meanRequestTokens);
  }

  /** Counts a successful answer of the server; the rate of warm servers is computed again. */
  void recordAnswer(ServerState server) {
    server.answerRate().increment(clock.nowMicros());
    server.roleStatistics().invalidateWarmRate();
  }

  /**
   * Mean answers per second that a warm server of the role sends to this gateway; the last known
   * rate if no server is warm. Computed only once per event, however many servers are in slow
   * start.
   */
  private double warmAnswersPerSecond(RoleStatistics role) {
    long now = clock.nowMicros();
    if (!role.isWarmRateCurrent(now)) {
      double answersPerSecond =
          servers.all().stream()
              .filter(peer -> peer.roleStatistics() == role && peer.isReady() && !isWarmingUp(peer))
              .mapToDouble(peer -> peer.answerRate().ratePerSecond(now))
              .average()
              .orElse(role.warmAnswersPerSecond());
      role.setWarmRate(answersPerSecond, now);
    }
    return role.warmAnswersPerSecond();
  }
}
