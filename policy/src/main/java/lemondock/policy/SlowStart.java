package lemondock.policy;

/**
 * Limits what a server in slow start gets: a server that has just started bears less than a warm
 * one, and all gateways learn of it at once. Its part is earned as credit in a token bucket; a mean
 * request costs one credit, and each gateway begins with a random part of one, so that all of them
 * together make no burst.
 */
final class SlowStart {
  /** Part of the rate that a server in slow start bears before it fails. */
  private static final double SAFETY_FACTOR = 0.85;

  /** Speed of a server at its start, where the settings promise less. */
  private static final double MIN_SPEED = 0.1;

  /** Credit that the smallest request costs. */
  private static final double MIN_REQUEST_COST = 0.2;

  /** What a server in slow start gets from all gateways together at least. */
  private static final double MIN_REQUESTS_PER_SECOND = 1.0;

  private final ServiceRules rules;
  private final int gatewayCount;
  private final ServerTable servers;
  private final DecisionClock clock;

  /** Prompt and answer; 0 before the first request. */
  private double meanRequestTokens;

  SlowStart(RouterSettings settings, ServerTable servers, DecisionClock clock) {
    this.rules = settings.rules();
    this.gatewayCount = settings.gatewayCount();
    this.servers = servers;
    this.clock = clock;
  }

  /** Whether the server started so recently that it is still slower than its like. */
  boolean isWarmingUp(ServerState server) {
    long startedAt = server.entry().startedAtMicros();
    return startedAt > 0 && clock.nowMicros() - startedAt <= rules.slowStartMicros();
  }

  /** Its part of a warm server's speed: at first what the settings promise, growing evenly. */
  double relativeSpeed(ServerState server) {
    if (!isWarmingUp(server)) {
      return 1;
    }
    double least = Math.min(1, Math.max(MIN_SPEED, rules.slowStartInitialShare()));
    long ageMicros = clock.nowMicros() - server.entry().startedAtMicros();
    return least + (1 - least) * ageMicros / rules.slowStartMicros();
  }

  /** Whether a request may go to the server; a warm one bears any. Adds the credit earned. */
  boolean hasCredit(ServerState server) {
    if (!isWarmingUp(server)) {
      return true;
    }
    double part = relativeSpeed(server) * rules.overloadFactor() * SAFETY_FACTOR;
    double least = MIN_REQUESTS_PER_SECOND / Math.max(1, gatewayCount);
    double earnedPerSecond = Math.max(warmAnswersPerSecond(server.roleStatistics()) * part, least);
    server.slowStartCredit().earn(earnedPerSecond, clock.nowMicros());
    return server.slowStartCredit().holdsRequest();
  }

  /** An attempt is sent to the server. */
  void spendCredit(ServerState server, long tokens) {
    server.slowStartCredit().spend(Math.max(MIN_REQUEST_COST, tokens / meanRequestTokens));
  }

  /** A request has arrived: it counts in what a mean request is. */
  void recordRequest(long tokens) {
    double weight = meanRequestTokens == 0 ? 1 : RoleStatistics.WEIGHT;
    meanRequestTokens += weight * (tokens - meanRequestTokens);
  }

  /** The server has answered an attempt well: it counts in what a warm server answers. */
  void recordAnswer(ServerState server) {
    server.answerRate().add(clock.nowMicros());
    server.roleStatistics().invalidateWarmRate();
  }

  /**
   * Answers per second from a warm server of the role to this gateway; the last known where none is
   * warm. Computed once per event, whatever the number of servers in slow start.
   */
  private double warmAnswersPerSecond(RoleStatistics role) {
    long now = clock.nowMicros();
    if (!role.isWarmRateOf(now)) {
      double answersPerSecond =
          servers.all().stream()
              .filter(peer -> peer.roleStatistics() == role && peer.isReady() && !isWarmingUp(peer))
              .mapToDouble(peer -> peer.answerRate().perSecond(now))
              .average()
              .orElse(role.warmAnswersPerSecond());
      role.setWarmRate(answersPerSecond, now);
    }
    return role.warmAnswersPerSecond();
  }
}
