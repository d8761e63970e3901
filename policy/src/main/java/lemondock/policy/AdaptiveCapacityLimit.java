package lemondock.policy;

import java.util.List;

/**
 * Limits admission, so that requests beyond the capacity of the writers are rejected before any
 * work is spent on them. The tokens in flight are limited to a share of the writers' memory, which
 * this gateway learns: each first token in time raises the limit, and each late first token or
 * rejection lowers it by a multiple of that. One share applies to all writers, because one gateway
 * of many sees each writer too rarely to learn a share for it. Protects against overload, bursts,
 * slowness of all writers and lost writers. If first tokens are late for a reason other than load,
 * it rejects too many requests, until first tokens in time raise the limit again.
 */
final class AdaptiveCapacityLimit {
  /**
   * Initial share of the memory, as a multiple of an even split between all gateways. More than 1,
   * because gateways use the writers unevenly.
   */
  private static final double INITIAL_SHARE = 1.2;

  /**
   * A late or rejected request lowers the limit by this multiple of its tokens; a request with its
   * first token in time raises it by its tokens.
   */
  private static final double DECREASE_FACTOR = 2.0;

  /** The limit grows only while more than this share of the request's allowance is in use. */
  private static final double INCREASE_UTILIZATION = 0.5;

  /** A writer whose streams take this share of their objective has no capacity left. */
  private static final double SATURATED_STREAM_TIME_RATIO = 0.9;

  private final ServerModel servers;
  private final AdmissionQuota quota;

  /**
   * Whether the fleet has mixed servers. Slow streams of one role then move writes to the servers
   * of the other role.
   */
  private final boolean mixedFleet;

  private double memoryShare;
  private long tokensInFlight;
  private long writeTokensInFlight;

  AdaptiveCapacityLimit(RouterSettings settings, ServerModel servers, AdmissionQuota quota) {
    this.servers = servers;
    this.quota = quota;
    this.mixedFleet =
        settings.serverKinds().stream().anyMatch(kind -> kind.role() == ServerRole.MIXED);
    this.memoryShare = Math.min(1, INITIAL_SHARE / Math.max(1, settings.gatewayCount()));
  }

  /**
   * Whether the request may be sent now. Always true while nothing is in flight, so that a limit
   * that has fallen to zero can grow again.
   */
  boolean admits(InFlightRequest request) {
    return tokensInFlight == 0
        || tokensInFlight + request.writeTokens()
            <= memoryShare * memoryTokens() * quota.allowedShare(request);
  }

  /** Whether the writer can take the request's answer and stream it as fast as its class wants. */
  boolean hasCapacity(ServerState server, InFlightRequest request) {
    double lateMicros = request.objectiveMicros() * LatencyEstimator.LATE_FIRST_TOKEN_SHARE;
    return streamTimeRatio(server) < SATURATED_STREAM_TIME_RATIO
        && servers.latency().estimatedWaitMicros(server) <= lateMicros
        && (server.writeTokensInFlight() == 0
            || server.writeTokensInFlight() + request.writeTokens()
                <= memoryShare * server.memoryTokens());
  }

  private double streamTimeRatio(ServerState server) {
    return mixedFleet
        ? Math.max(server.streamTimeRatio().lastSet(), server.roleStatistics().streamTimeRatio())
        : server.streamTimeRatio().lastSet();
  }

  /** Adds the tokens of an attempt that is being sent. */
  void recordSent(Attempt attempt) {
    tokensInFlight += attempt.tokens();
    if (attempt.writes()) {
      attempt.server().addWriteTokensInFlight(attempt.tokens());
      writeTokensInFlight += attempt.tokens();
      attempt.setWriteTokensInFlightAtSend(writeTokensInFlight);
    }
  }

  /** Subtracts the tokens of an attempt that has ended. */
  void recordEnded(Attempt attempt) {
    tokensInFlight -= attempt.tokens();
    if (attempt.writes()) {
      attempt.server().addWriteTokensInFlight(-attempt.tokens());
      writeTokensInFlight -= attempt.tokens();
    }
  }

  /**
   * Adjusts the limit after a first token. A late one shows that the writers are overloaded. An
   * attempt that never gets a first token may be lost and shows nothing, so it changes nothing.
   */
  void recordFirstToken(InFlightRequest request, Attempt attempt, long timeToFirstTokenMicros) {
    double lateMicros = request.objectiveMicros() * LatencyEstimator.LATE_FIRST_TOKEN_SHARE;
    if (timeToFirstTokenMicros > lateMicros) {
      decrease(attempt);
      return;
    }
    double allowedTokens = memoryShare * memoryTokens() * quota.allowedShare(request);
    if (attempt.writeTokensInFlightAtSend() > allowedTokens * INCREASE_UTILIZATION) {
      memoryShare = Math.min(1, memoryShare + attempt.tokens() / memoryTokens());
    }
  }

  /** Lowers the limit after a server has rejected a write for lack of capacity. */
  void recordRejection(Attempt attempt) {
    if (attempt.writes()) {
      decrease(attempt);
    }
  }

  long tokensInFlight() {
    return tokensInFlight;
  }

  /** The most tokens that may be in flight. */
  long capacityTokens() {
    return Math.round(memoryShare * memoryTokens());
  }

  /**
   * Lowers the limit. A decrease is a multiple of an increase, so the limit settles where writes in
   * time outnumber late ones by that factor.
   */
  private void decrease(Attempt attempt) {
    memoryShare -= Math.min(memoryShare, DECREASE_FACTOR * attempt.tokens() / memoryTokens());
  }

  private double memoryTokens() {
    List<ServerState> healthy =
        ServerEligibility.preferIfAny(servers.table().writers(), servers.outliers()::isHealthy);
    return Math.max(1, healthy.stream().mapToLong(ServerState::memoryTokens).sum());
  }
}
