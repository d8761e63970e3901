package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Selects the server that reads a prompt: the session's last reader, or else the prefix's primary
 * by rendezvous hashing. Either of them is skipped for the next in rank if its read would take
 * clearly longer than the fastest one. Protects against a hot prefix, a slow or overloaded reader
 * and cached text that a server has evicted. The cost is that the same text may be read more than
 * once.
 */
final class ReaderSelector {
  /**
   * Reads of more tokens than this, overhead included, go to mixed servers only while the readers
   * are overloaded.
   */
  static final int LONG_READ_TOKENS = 1_500;

  /** Fixed cost of a read, as a number of tokens that is added to each. */
  static final int READ_OVERHEAD_TOKENS = 300;

  /** A prefix has one primary, and one more for each group of this many readers. */
  private static final int READERS_PER_PRIMARY = 8;

  /** A read that takes at most this share of the latency objective is never skipped as too slow. */
  private static final double PRIMARY_OBJECTIVE_SHARE = 0.2;

  /** A read is skipped as too slow beyond this multiple of the fastest one's expected duration. */
  private static final double PRIMARY_BEST_FACTOR = 3.0;

  private final ServerEligibility eligibility;
  private final LatencyEstimator latency;
  private final AdaptiveCapacityLimit capacity;
  private final SessionTable sessions;
  private final CachedPromptEstimator cachedPrompts;
  private final RendezvousRanking ranking;

  /** A read that could be sent, and whether its server is suitable for it. */
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

  /** The read to send; empty if no server may receive it. */
  Optional<AttemptPlan> select(InFlightRequest request) {
    request.setSession(sessions.find(request.attributes().sessionId()));
    List<ReadOption> options = rankedOptions(request);
    double primaryMicros = request.objectiveMicros() * PRIMARY_OBJECTIVE_SHARE;
    if (options.stream()
        .anyMatch(option -> option.suitable && option.expectedMicros() <= primaryMicros)) {
      // Without such an option the readers are overloaded: unsuitable mixed servers may read, too.
      options.removeIf(option -> !option.suitable);
    }
    double fastestMicros = options.stream().mapToDouble(ReadOption::expectedMicros).min().orElse(0);
    double maxMicros = Math.max(fastestMicros * PRIMARY_BEST_FACTOR, primaryMicros);
    options.removeIf(option -> option.expectedMicros() > maxMicros);
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
   * The reads that could be sent, by rank. A large fleet has several primaries for a prefix,
   * because a popular prefix would overload a single reader. Each session chooses among them by its
   * own hash, so that all gateways choose the same one.
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

  private ReadOption option(InFlightRequest request, ServerState server, long readTokens) {
    long expectedMicros = latency.expectedReadMicros(server, readTokens);
    boolean mixed = server.role() == ServerRole.MIXED;
    AttemptWork work = mixed ? AttemptWork.READ_AND_WRITE : AttemptWork.READ;
    // A mixed server is suitable for short reads only, and only while it has capacity to write the
    // answer as well.
    boolean suitable =
        server.role() == ServerRole.READER
            || readTokens <= LONG_READ_TOKENS && capacity.hasCapacity(server, request);
    return new ReadOption(new AttemptPlan(server, work, readTokens, expectedMicros), suitable);
  }
}
