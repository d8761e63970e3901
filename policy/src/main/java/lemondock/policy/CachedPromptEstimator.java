package lemondock.policy;

import java.util.Optional;

/** Estimates how much of a prompt a server has to read because it has not cached it. */
final class CachedPromptEstimator {
  private final SlowStart slowStart;

  /** Tokens that reads of each class usually had to read; 0 while unknown. */
  private final double[] usualUncachedTokens;

  CachedPromptEstimator(int classCount, SlowStart slowStart) {
    this.slowStart = slowStart;
    this.usualUncachedTokens = new double[classCount];
  }

  /**
   * Tokens of the prompt that the server has likely not cached. Primaries are shared by all
   * gateways: their text is likely cached though this gateway never sent it, the prefix at all of
   * them, the session's earlier turns at the first, but for what is usually new in the class. Not
   * so at a server that has started of late.
   *
   * @param rank the server's place in the ranking for the request, from 0
   * @param primaryCount how many servers of the ranking are primaries
   */
  long uncachedTokens(InFlightRequest request, ServerState server, int rank, int primaryCount) {
    RoutingRequest attributes = request.attributes();
    boolean settledPrimary = rank < primaryCount && !slowStart.isWarmingUp(server);
    long cached = knownCachedTokens(request, server, settledPrimary);
    long uncached = Math.max(0, attributes.promptTokens() - cached);
    double usual = usualUncachedTokens[attributes.classId()];
    return rank == 0 && settledPrimary && usual > 0 ? Math.min(uncached, (long) usual) : uncached;
  }

  private static long knownCachedTokens(
      InFlightRequest request, ServerState server, boolean settledPrimary) {
    RoutingRequest attributes = request.attributes();
    boolean prefixCached =
        settledPrimary && attributes.prefixId() != 0 || server.knowsPrefix(attributes.prefixId());
    long cached = prefixCached ? attributes.prefixTokens() : 0;
    Optional<SessionEntry> session = request.session();
    if (session.isPresent() && session.get().serverId() == server.id()) {
      cached = Math.max(cached, session.get().cachedTokens());
    }
    return cached;
  }

  /** A read of the class has ended and had to read so many tokens. */
  void recordRead(int classId, long uncachedTokens) {
    double usual = usualUncachedTokens[classId];
    double weight = usual == 0 ? 1 : RoleStatistics.WEIGHT;
    usualUncachedTokens[classId] += weight * (uncachedTokens - usual);
  }
}
