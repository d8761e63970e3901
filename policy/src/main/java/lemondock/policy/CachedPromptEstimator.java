package lemondock.policy;

import java.util.Optional;

/** Estimates how many tokens of a prompt a server has to read because it has not cached them. */
final class CachedPromptEstimator {
  private final SlowStart slowStart;

  /** Moving average of the uncached tokens of reads, by request class; 0 while unknown. */
  private final double[] meanUncachedTokens;

  CachedPromptEstimator(int classCount, SlowStart slowStart) {
    this.slowStart = slowStart;
    this.meanUncachedTokens = new double[classCount];
  }

  /**
   * Tokens of the prompt that the server has probably not cached. All gateways use the same
   * primaries, so a primary has probably cached text that this gateway never sent to it: every
   * primary has the prefix, and the first one also has the session's earlier turns, so that it
   * reads only as many tokens as an average request of the class needs. A server in slow start is
   * assumed to have neither.
   *
   * @param rank the server's position in the ranking for the request, from 0
   * @param primaryCount how many servers at the head of the ranking are primaries
   */
  long uncachedTokens(InFlightRequest request, ServerState server, int rank, int primaryCount) {
    RoutingRequest attributes = request.attributes();
    boolean warmPrimary = rank < primaryCount && !slowStart.isWarmingUp(server);
    long cached = knownCachedTokens(request, server, warmPrimary);
    long uncached = Math.max(0, attributes.promptTokens() - cached);
    double mean = meanUncachedTokens[attributes.classId()];
    return rank == 0 && warmPrimary && mean > 0 ? Math.min(uncached, (long) mean) : uncached;
  }

  private static long knownCachedTokens(
      InFlightRequest request, ServerState server, boolean warmPrimary) {
    RoutingRequest attributes = request.attributes();
    boolean prefixCached =
        warmPrimary && attributes.prefixId() != 0 || server.hasRecentPrefix(attributes.prefixId());
    long cached = prefixCached ? attributes.prefixTokens() : 0;
    Optional<SessionEntry> session = request.session();
    if (session.isPresent() && session.get().serverId() == server.id()) {
      cached = Math.max(cached, session.get().cachedTokens());
    }
    return cached;
  }

  /** Updates the average of the class after a read that had to read {@code uncachedTokens}. */
  void recordRead(int classId, long uncachedTokens) {
    double mean = meanUncachedTokens[classId];
    double weight = mean == 0 ? 1 : RoleStatistics.WEIGHT;
    meanUncachedTokens[classId] += weight * (uncachedTokens - mean);
  }
}
