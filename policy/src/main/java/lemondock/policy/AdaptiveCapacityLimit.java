package lemondock.policy;

import java.util.List;

/**
 * Rejects before it costs work what the writers cannot take: tokens in flight are held to a part of
 * the writers' memory that this gateway learns by additive increase and multiplicative decrease.
 * One figure stands for all writers, for one of many gateways sees each too rarely. Guards against
 * overload, bursts, shared slowness and lost writers; it can do harm where first tokens are late
 * for another cause, until prompt ones let the limit grow back.
 */
final class AdaptiveCapacityLimit {
  /** First share, in even shares of the memory: gateways use writers unevenly. */
  private static final double INITIAL_SHARE = 1.2;

  /**
   * Times its own tokens that a late or rejected request takes off; a prompt one adds them once.
   */
  private static final double DECREASE_FACTOR = 2.0;

  /** The limit grows only while more than this share of what is open to the request is in use. */
  private static final double INCREASE_UTILIZATION = 0.5;

  /** Streams that take this share of the wanted time: their writer takes no more. */
  private static final double SATURATED_PACE = 0.9;

  private final ServerModel servers;
  private final AdmissionQuota quota;

  /** Whether writers are of two roles: the pace of one role sends work to the other. */
  private final boolean mixedFleet;

  private double share;
  private long tokensInFlight;
  private long writeTokensInFlight;

  AdaptiveCapacityLimit(RouterSettings settings, ServerModel servers, AdmissionQuota quota) {
    this.servers = servers;
    this.quota = quota;
    this.mixedFleet =
        settings.serverKinds().stream().anyMatch(kind -> kind.role() == ServerRole.MIXED);
    this.share = Math.min(1, INITIAL_SHARE / Math.max(1, settings.gatewayCount()));
  }

  /** Whether the request may begin; with nothing in flight one always may. */
  boolean admits(InFlightRequest request) {
    return tokensInFlight == 0
        || tokensInFlight + request.writeTokens()
            <= share * memoryTokens() * quota.allowedShare(request);
  }

  /** Whether the writer can take the request's answer and write it at the wanted pace. */
  boolean hasCapacity(ServerState server, InFlightRequest request) {
    double lateMicros = request.objectiveMicros() * LatencyEstimator.LATE_FIRST_TOKEN_SHARE;
    return streamPace(server) < SATURATED_PACE
        && servers.latency().estimatedWaitMicros(server) <= lateMicros
        && (server.writeTokensInFlight() == 0
            || server.writeTokensInFlight() + request.writeTokens()
                <= share * server.memoryTokens());
  }

  private double streamPace(ServerState server) {
    return mixedFleet
        ? Math.max(server.streamPace().lastSet(), server.roleStatistics().streamPace())
        : server.streamPace().lastSet();
  }

  /** An attempt is sent. */
  void recordSent(Attempt attempt) {
    tokensInFlight += attempt.tokens();
    if (attempt.writes()) {
      attempt.server().addWriteTokensInFlight(attempt.tokens());
      writeTokensInFlight += attempt.tokens();
      attempt.setWriteTokensInFlightAtSend(writeTokensInFlight);
    }
  }

  /** An attempt has ended. */
  void recordEnded(Attempt attempt) {
    tokensInFlight -= attempt.tokens();
    if (attempt.writes()) {
      attempt.server().addWriteTokensInFlight(-attempt.tokens());
      writeTokensInFlight -= attempt.tokens();
    }
  }

  /**
   * A first token that came late says that the writers have too much; one that never came may be
   * lost and says nothing.
   */
  void recordFirstToken(InFlightRequest request, Attempt attempt, long timeToFirstTokenMicros) {
    double lateMicros = request.objectiveMicros() * LatencyEstimator.LATE_FIRST_TOKEN_SHARE;
    if (timeToFirstTokenMicros > lateMicros) {
      decrease(attempt);
      return;
    }
    double open = share * memoryTokens() * quota.allowedShare(request);
    if (attempt.writeTokensInFlightAtSend() > open * INCREASE_UTILIZATION) {
      share = Math.min(1, share + attempt.tokens() / memoryTokens());
    }
  }

  /** A server has rejected an attempt for want of capacity. */
  void recordRejection(Attempt attempt) {
    if (attempt.writes()) {
      decrease(attempt);
    }
  }

  long tokensInFlight() {
    return tokensInFlight;
  }

  /** The tokens that may be in flight. */
  long capacityTokens() {
    return Math.round(share * memoryTokens());
  }

  /** Late writes settle at one in so many, for a decrease takes a multiple of an increase. */
  private void decrease(Attempt attempt) {
    share -= Math.min(share, DECREASE_FACTOR * attempt.tokens() / memoryTokens());
  }

  private double memoryTokens() {
    List<ServerState> healthy =
        ServerEligibility.preferIfAny(servers.table().writers(), servers.outliers()::isHealthy);
    return Math.max(1, healthy.stream().mapToLong(ServerState::memoryTokens).sum());
  }
}
