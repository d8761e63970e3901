package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the server that reads a prompt: the session's reader, else the prefix's primary by
 * rendezvous hashing. A primary whose read would take clearly longer than the best one's is passed
 * over for the next in rank. Guards against a hot prefix, a slow or overloaded reader and text that
 * a server has dropped; it can do harm by reading a text twice too often.
 */
final class ReaderSelector {
  /** Uncached prompts longer than this are for readers only, not for mixed servers. */
  static final int LONG_READ_TOKENS = 1_500;

  /** Added to each read for its fixed cost. */
  static final int READ_OVERHEAD_TOKENS = 300;

  /** A prefix has one primary, and one more for each so many readers. */
  private static final int READERS_PER_PRIMARY = 8;

  /** Share of the latency objective that a primary's read may take in any case. */
  private static final double PRIMARY_OBJECTIVE_SHARE = 0.2;

  /** Times the best reader's expected read that a primary's may take. */
  private static final double PRIMARY_BEST_FACTOR = 3.0;

  private final ServerEligibility eligibility;
  private final LatencyEstimator latency;
  private final AdaptiveCapacityLimit capacity;
  private final SessionTable sessions;
  private final CachedPromptEstimator cachedPrompts;
  private final RendezvousRanking ranking;

  /** An attempt that could be sent, and whether its server suits such a read. */
  private record ReadOption(AttemptPlan plan, boolean suitable) {
    long expectedMicros() {
      return plan.expectedMicros();
    }
  }

  ReaderSelector(
      ServerEligibility eligibility,
      ServerModel servers,
      AdaptiveCapacityLimit capacity,
      SessionTable sessions,
      CachedPromptEstimator cachedPrompts) {
    this.eligibility = eligibility;
    this.latency = servers.latency();
    this.capacity = capacity;
    this.sessions = sessions;
    this.cachedPrompts = cachedPrompts;
    this.ranking = new RendezvousRanking(servers.slowStart());
  }

  /** The read to send; empty if no server may take it. */
  Optional<AttemptPlan> select(InFlightRequest request) {
    request.setSession(sessions.find(request.attributes().sessionId()));
    List<ReadOption> options = rankedOptions(request);
    double primaryMicros = request.objectiveMicros() * PRIMARY_OBJECTIVE_SHARE;
    if (options.stream()
        .anyMatch(option -> option.suitable && option.expectedMicros() <= primaryMicros)) {
      // Else readers are overloaded and mixed servers help out.
      options.removeIf(option -> !option.suitable);
    }
    double best = options.stream().mapToDouble(ReadOption::expectedMicros).min().orElse(0);
    double longest = Math.max(best * PRIMARY_BEST_FACTOR, primaryMicros);
    options.removeIf(option -> option.expectedMicros() > longest);
    return options.stream()
        .filter(option -> isSessionReader(request, option.plan.server()))
        .findFirst()
        .or(() -> options.stream().findFirst())
        .map(ReadOption::plan);
  }

  private static boolean isSessionReader(InFlightRequest request, ServerState server) {
    Optional<SessionEntry> session = request.session();
    return session.isPresent() && session.get().serverId() == server.id();
  }

  /**
   * The reads that could be sent, by rank. A large fleet has several primaries for a prefix, which
   * would be too much for one reader if popular; a session picks among them by its own hash, so
   * that all gateways pick alike.
   */
  private List<ReadOption> rankedOptions(InFlightRequest request) {
    RoutingRequest attributes = request.attributes();
    long key = attributes.prefixId() != 0 ? attributes.prefixId() : attributes.sessionId();
    List<ServerState> ranked = new ArrayList<>(eligibility.readers(request));
    ranking.sort(ranked, key);
    int primaryCount = Math.min(ranked.size(), 1 + ranked.size() / READERS_PER_PRIMARY);
    ranking.sort(ranked.subList(0, primaryCount), attributes.sessionId());
    List<ReadOption> options = new ArrayList<>();
    for (ServerState server : ranked) {
      long uncachedTokens =
          cachedPrompts.uncachedTokens(request, server, options.size(), primaryCount);
      options.add(option(request, server, uncachedTokens + READ_OVERHEAD_TOKENS));
    }
    return options;
  }

  private ReadOption option(InFlightRequest request, ServerState server, long uncachedTokens) {
    long expectedMicros = latency.expectedReadMicros(server, uncachedTokens);
    boolean mixed = server.role() == ServerRole.MIXED;
    AttemptWork work = mixed ? AttemptWork.READ_AND_WRITE : AttemptWork.READ;
    // A mixed server suits short reads, and only while it can write the answer in place.
    boolean suitable =
        server.role() == ServerRole.READER
            || uncachedTokens <= LONG_READ_TOKENS && capacity.hasCapacity(server, request);
    return new ReadOption(new AttemptPlan(server, work, uncachedTokens, expectedMicros), suitable);
  }
}
