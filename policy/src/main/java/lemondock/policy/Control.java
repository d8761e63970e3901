package lemondock.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Every decision of the router; its interface (types, events, actions) is {@code
 * RequestRouter.java}.
 *
 * <p>One instance a gateway, single-threaded. A request's life runs top to bottom: it is admitted
 * or parked, read (session table, else rendezvous hash), written (two draws), and ends with one
 * final answer. The five rules are guarded in one place each: the final answer in {@link
 * RequestCompletion}, repeats in {@link RetryPolicy#mayRepeat}, drains and cold servers in {@link
 * ServerEligibility}, and held state in {@link StateReleasePolicy}.
 */
public final class Control implements RequestRouter {
  // Times in microseconds, lengths in tokens, shares and factors without unit.
  // ---- session affinity
  static final long SESSION_TTL_MICROS =
      60_000_000L; // idle life of a session's entry, and of a known prefix
  static final long REAP_INTERVAL_MICROS = 5_000_000L; // between two rounds of the reaper
  static final int LONG_READ_TOKENS = 1_500; // more unkept prompt than this is for readers only
  static final int READ_OVERHEAD_TOKENS = 300; // added to each read for its fixed cost
  static final int READERS_PER_PRIMARY =
      8; // a prefix has one home, and one more for each so many readers
  static final double PRIMARY_OBJECTIVE_SHARE =
      0.2; // a home is kept while its read takes this share of the aim,
  static final double PRIMARY_TIMES_BEST = 3.0; // or this many times the best reader's
  static final double READ_OBJECTIVE_SHARE =
      0.7; // a read must end within this share of what is left of the aim
  // ---- choice of a writer
  static final double REMOTE_LOAD_FACTOR =
      0.7; // a far writer wins only below this share of the near load
  // ---- admission
  static final long SHUTDOWN_MARGIN_MICROS =
      300_000L; // before the kill, for last answers to reach their clients
  // ---- attempts

  private static final Set<AttemptOutcome> NEVER_RAN =
      EnumSet.of(
          AttemptOutcome.REJECTED,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.ABANDONED_BEFORE_SEND);

  private final RouterSettings settings;
  private final RouterHost host;
  private final SplittableRandom random;
  private final ServerModel servers;
  private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
  private final Map<Long, SessionEntry> sessions = new HashMap<>();
  private final AdmissionQueue queue;
  private final AdmissionQuota quota;
  private final AdaptiveCapacityLimit capacity;
  private final double[] usualNewTokens; // usual in each class, 0 while unknown
  private final RetryPolicy retryPolicy;
  private final AttemptTimeouts timeouts;
  private final ServerEligibility eligibility;
  private final StateReleasePolicy stateReleases;
  private final RequestCompletion completion;
  private long killedAt = Long.MAX_VALUE;
  private final DecisionClock clock = new DecisionClock();

  /**
   * One gateway's module, its seed the only chance; an IllegalArgumentException names bad settings.
   */
  public Control(RouterSettings settings, long seed, RouterHost host) {
    this.settings = settings;
    this.host = host;
    this.random = new SplittableRandom(seed);
    require(
        !settings.classes().isEmpty() && !settings.serverKinds().isEmpty(),
        "no classes or no kinds");
    require(settings.limits().maxAttempts() > 0, "no attempt is allowed");
    for (RequestClass requestClass : settings.classes()) {
      require(
          requestClass.latencyObjectiveMicros() > 0
              && requestClass.deadlineMicros() >= requestClass.latencyObjectiveMicros(),
          "a class's deadline lies before its aim");
    }
    servers = ServerModel.create(settings, random, clock);
    usualNewTokens = new double[settings.classes().size()];
    queue = new AdmissionQueue(clock, host);
    quota = new AdmissionQuota(settings, clock);
    capacity = new AdaptiveCapacityLimit(settings, servers, quota);
    retryPolicy = new RetryPolicy(settings, clock);
    boolean mayCancel = settings.limits().mayCancel();
    timeouts = new AttemptTimeouts(mayCancel, clock, host, retryPolicy, servers.latency());
    eligibility = new ServerEligibility(servers, retryPolicy);
    stateReleases = new StateReleasePolicy(clock, host, inFlight.values());
    completion = new RequestCompletion(settings.limits(), host, stateReleases, queue, inFlight);
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalArgumentException(what);
    }
  }

  // ==== events
  @Override
  public void started(long nowMicros) {
    clock.advanceTo(nowMicros);
    host.setTimer(RequestTimer.REAP_SESSIONS.token(), REAP_INTERVAL_MICROS);
    if (settings.limits().pollsEndpointList()) {
      host.watchEndpoints();
    }
  }

  @Override
  public void endpointsChanged(long nowMicros, EndpointListKind kind, List<ServerEntry> entries) {
    clock.advanceTo(nowMicros);
    if (kind == EndpointListKind.FAILED) {
      host.watchEndpoints();
      return;
    }
    servers.table().apply(kind, entries);
    dispatchQueued();
  }

  @Override
  public void requestArrived(long nowMicros, RoutingRequest attributes) {
    clock.advanceTo(nowMicros);
    InFlightRequest request =
        new InFlightRequest(
            attributes,
            settings.classes().get(attributes.classId()),
            clock.nowMicros(),
            new ReservedState(settings.rules().releaseWithinMicros()),
            random.nextDouble());
    inFlight.put(attributes.id(), request);
    servers.slowStart().recordRequest(request.writeTokens());
    retryPolicy.recordArrival();
    quota.recordArrival(attributes);
    long timeoutMicros =
        Math.max(0, attributes.clientTimeoutMicros() - settings.timerResolutionMicros());
    host.setTimer(RequestTimer.DEADLINE.token(attributes.id()), timeoutMicros);
    if (endsAfterShutdown(request)) {
      completion.complete(request, DecisionReason.SHUTTING_DOWN);
    } else if (!capacity.admits(request) || !dispatchRead(request)) {
      queue.enqueue(request);
    }
  }

  @Override
  public void shutdownStarted(long nowMicros, long killedAtMicros) {
    clock.advanceTo(nowMicros);
    killedAt = killedAtMicros;
    long left =
        Math.max(
            0,
            killedAtMicros
                - SHUTDOWN_MARGIN_MICROS
                - clock.nowMicros()); // none may be cut off without an answer
    inFlight.keySet().forEach(id -> host.setTimer(RequestTimer.DEADLINE.token(id), left));
  }

  /**
   * Whether the longest answer, begun as late as may be, goes on at the wanted pace beyond the
   * kill.
   */
  private boolean endsAfterShutdown(InFlightRequest request) {
    long longest =
        request.attributes.clientTimeoutMicros()
            + request.attributes.maxAnswerTokens()
                * request.requestClass.tokenIntervalObjectiveMicros();
    return killedAt < Long.MAX_VALUE && clock.nowMicros() + longest > killedAt;
  }

  @Override
  public void firstToken(
      long nowMicros,
      long requestId,
      int attemptNumber,
      long serverId,
      long timeToFirstTokenMicros) {
    clock.advanceTo(nowMicros);
    InFlightRequest request = inFlight.get(requestId);
    if (request == null || attemptNumber >= request.attempts.size()) {
      return;
    }
    final Attempt attempt = request.attempts.get(attemptNumber);
    request.streaming = true;
    stateReleases.firstToken(request);
    attempt.timeToFirstTokenMicros = Math.max(1, timeToFirstTokenMicros);
    servers.recordAnswer(attempt, AttemptVerdict.SUCCESS);
    servers.latency().recordFirstToken(attempt, timeToFirstTokenMicros);
    capacity.recordFirstToken(request, attempt, timeToFirstTokenMicros);
    if (attempt.reads()) {
      remember(request, attempt.server);
    }
    dispatchQueued();
  }

  @Override
  public void attemptEnded(long nowMicros, AttemptResult result) {
    clock.advanceTo(nowMicros);
    InFlightRequest request = inFlight.get(result.requestId());
    if (request == null
        || result.attempt() >= request.attempts.size()
        || request.attempts.get(result.attempt()).ended) {
      return;
    }
    Attempt attempt = request.attempts.get(result.attempt());
    recordEnd(request, attempt, result);
    request.ended |= result.requestEnded();
    request.streaming &=
        attempt.timeToFirstTokenMicros
            == 0; // a stream that ends without ending its request leaves it unanswered
    stateReleases.attemptEnded(request, attempt, result);
    if (request.ended || request.streaming) {
      stateReleases.releaseIfIdle(request);
    } else {
      continueRequest(request);
      stateReleases.schedule(request);
    }
    completion.forgetIfEnded(request);
    dispatchQueued();
  }

  @Override
  public void clientDisconnected(long nowMicros, long requestId) {
    clock.advanceTo(nowMicros);
    InFlightRequest request = inFlight.get(requestId);
    if (request != null && !request.ended) {
      completion.abandon(request);
    }
  }

  @Override
  public void timerFired(long nowMicros, long token) {
    clock.advanceTo(nowMicros);
    RequestTimer kind = RequestTimer.kindOf(token);
    InFlightRequest request = inFlight.get(RequestTimer.requestIdOf(token));
    if (kind == RequestTimer.REAP_SESSIONS) {
      reap();
    } else if (kind == RequestTimer.QUEUE_SCAN) {
      queue.scanTimerFired();
      dispatchQueued();
    } else if (kind == RequestTimer.STATE_RELEASE) {
      stateReleases.timerFired();
    } else if (request == null || request.ended || request.streaming) {
      return;
    } else if (kind == RequestTimer.ATTEMPT_TIMEOUT) {
      timeouts.timerFired(request);
    } else if (kind == RequestTimer.DEADLINE || queue.contains(request)) {
      completion.complete(
          request,
          kind == RequestTimer.DEADLINE
              ? DecisionReason.DEADLINE_EXCEEDED
              : DecisionReason.QUEUE_TIMEOUT);
    }
  }

  // ==== the list of servers

  // ==== admission

  @Override
  public void visitState(long nowMicros, RouterStateVisitor visitor) {
    clock.advanceTo(Math.max(clock.nowMicros(), nowMicros));
    for (ServerState server : servers.table().all()) {
      boolean warmingUp = servers.slowStart().isWarmingUp(server);
      boolean healthy = servers.outliers().isHealthy(server);
      visitor.server(server.id(), server.role(), server.lifecycle, warmingUp, healthy);
    }
    visitor.totals(queue.size(), capacity.tokensInFlight(), capacity.capacityTokens());
  }

  private void dispatchQueued() {
    queue.scan(request -> capacity.admits(request) && dispatchRead(request));
  }

  // ==== the read
  /**
   * Sends the request to its reader; false if none can take it now, or, by chance, if it would be
   * late.
   */
  private boolean dispatchRead(InFlightRequest request) {
    ReadOption option = select(request);
    double left =
        (request.objectiveMicros - (clock.nowMicros() - request.arrivedAtMicros))
            * READ_OBJECTIVE_SHARE;
    if (option == null || option.expectedMicros() * request.lateReadThreshold > left) {
      return false;
    }
    send(request, option.plan());
    return true;
  }

  /**
   * The session's reader, else the prefix's home by rendezvous hashing. Departure: a home whose
   * read would take clearly longer than the best one's is passed over for the next in rank. Guards
   * against a hot prefix, a slow or jammed reader and forgotten text; could harm by reading a text
   * twice too often.
   */
  private ReadOption select(InFlightRequest request) {
    List<ReadOption> options = rankedOptions(request);
    double primaryMicros = request.objectiveMicros * PRIMARY_OBJECTIVE_SHARE;
    if (options.stream()
        .anyMatch(option -> option.suitable && option.expectedMicros() <= primaryMicros)) {
      options.removeIf(
          option -> !option.suitable); // else readers are jammed and mixed servers help out
    }
    double best = options.stream().mapToDouble(option -> option.expectedMicros()).min().orElse(0);
    options.removeIf(
        option -> option.expectedMicros() > Math.max(best * PRIMARY_TIMES_BEST, primaryMicros));
    return options.stream()
        .filter(
            option ->
                request.session.isPresent()
                    && request.session.get().serverId() == option.server().id())
        .findFirst()
        .orElse(options.isEmpty() ? null : options.get(0));
  }

  /**
   * The servers that may read this request, by rank. A large fleet has more homes for a prefix,
   * which is too much for one reader if popular; a session picks by its own hash, so that all
   * gateways pick alike.
   */
  private List<ReadOption> rankedOptions(InFlightRequest request) {
    request.session = Optional.ofNullable(sessions.get(request.attributes.sessionId()));
    List<ServerState> ranked = new ArrayList<>(eligibility.readers(request));
    rankByHash(
        ranked,
        request.attributes.prefixId() != 0
            ? request.attributes.prefixId()
            : request.attributes.sessionId());
    int primaryCount = Math.min(ranked.size(), 1 + ranked.size() / READERS_PER_PRIMARY);
    rankByHash(ranked.subList(0, primaryCount), request.attributes.sessionId());
    List<ReadOption> options = new ArrayList<>();
    for (ServerState server : ranked) {
      options.add(option(request, server, options.size(), primaryCount));
    }
    return options;
  }

  /**
   * Weighted rendezvous hashing: a cold server is first for its speed's part of the keys,
   * everywhere.
   */
  private void rankByHash(List<ServerState> some, long key) {
    some.forEach(
        server ->
            server.hashRank =
                -Math.log(unitInterval(mix(key ^ mix(server.id()))))
                    / servers.slowStart().relativeSpeed(server));
    some.sort(Comparator.comparingDouble(server -> server.hashRank));
  }

  /** A hash as a number between 0 and 1, neither of them, the smaller the larger the hash. */
  private static double unitInterval(long hash) {
    return 1 - ((hash - Long.MIN_VALUE >>> 12) + 0.5) * 0x1p-52;
  }

  /**
   * A server that could read, the tokens that it has probably not kept, and what the read should
   * take.
   */
  private record ReadOption(AttemptPlan plan, boolean suitable) {
    ServerState server() {
      return plan.server();
    }

    long expectedMicros() {
      return plan.expectedMicros();
    }
  }

  /**
   * A mixed server suits short reads only, and only while it has room to write the answer in place.
   */
  private ReadOption option(
      InFlightRequest request, ServerState server, int rank, int primaryCount) {
    long uncachedTokens =
        uncachedTokens(server, request, rank == 0, rank < primaryCount) + READ_OVERHEAD_TOKENS;
    boolean mixed = server.role() == ServerRole.MIXED;
    AttemptWork work = mixed ? AttemptWork.READ_AND_WRITE : AttemptWork.READ;
    long expectedMicros = servers.latency().expectedReadMicros(server, uncachedTokens);
    boolean suitable =
        server.role() == ServerRole.READER
            || uncachedTokens <= LONG_READ_TOKENS && capacity.hasCapacity(server, request);
    return new ReadOption(new AttemptPlan(server, work, uncachedTokens, expectedMicros), suitable);
  }

  private static long mix(long x) {
    long z = x + 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /**
   * Homes are shared by all gateways: their text is likely kept though this one never sent it, the
   * prefix at all of them, the session's earlier turns at the first, but for what is usually new in
   * the class. Not so at one that has started of late.
   */
  private long uncachedTokens(
      ServerState server, InFlightRequest request, boolean firstPrimary, boolean primary) {
    RoutingRequest attributes = request.attributes;
    boolean settled = primary && !servers.slowStart().isWarmingUp(server);
    long kept =
        settled && attributes.prefixId() != 0
                || server.prefixUsedAtMicros.containsKey(attributes.prefixId())
            ? attributes.prefixTokens()
            : 0;
    if (request.session.isPresent() && request.session.get().serverId() == server.id()) {
      kept = Math.max(kept, request.session.get().cachedTokens());
    }
    long uncachedTokens = Math.max(0, attributes.promptTokens() - kept);
    double usual = usualNewTokens[attributes.classId()];
    return firstPrimary && settled && usual > 0
        ? Math.min(uncachedTokens, (long) usual)
        : uncachedTokens;
  }

  /** Binds only after a read that succeeded, so that a silent server does not keep its sessions. */
  private void remember(InFlightRequest request, ServerState server) {
    RoutingRequest attributes = request.attributes;
    if (attributes.sessionId() != 0) {
      sessions.put(
          attributes.sessionId(),
          new SessionEntry(server.id(), attributes.promptTokens(), clock.nowMicros()));
    }
    if (attributes.prefixId() != 0) {
      server.prefixUsedAtMicros.put(attributes.prefixId(), clock.nowMicros());
    }
  }

  private void reap() {
    sessions
        .values()
        .removeIf(entry -> clock.nowMicros() - entry.usedAtMicros() > SESSION_TTL_MICROS);
    servers
        .table()
        .all()
        .forEach(
            entry ->
                entry
                    .prefixUsedAtMicros
                    .values()
                    .removeIf(
                        usedAtMicros -> clock.nowMicros() - usedAtMicros > SESSION_TTL_MICROS));
    host.log(
        capacity.tokensInFlight()
            + " tokens under way of room "
            + capacity.capacityTokens()
            + ", parked "
            + queue.size()
            + ", avoided "
            + servers.table().all().stream()
                .filter(entry -> !servers.outliers().isHealthy(entry))
                .map(ServerState::id)
                .toList()
            + ", reads wait us "
            + (long) servers.table().statistics(ServerRole.READER).waitMicros
            + ", writes "
            + (long) servers.table().statistics(ServerRole.WRITER).waitMicros);
    host.setTimer(RequestTimer.REAP_SESSIONS.token(), REAP_INTERVAL_MICROS);
  }

  // ==== the write
  private void dispatchWrite(InFlightRequest request) {
    ServerState server = selectWriter(request);
    if (server == null) {
      completion.complete(request, DecisionReason.NO_WRITER);
    } else {
      long expectedMicros = (long) server.roleStatistics.firstTokenMicros;
      send(request, new AttemptPlan(server, AttemptWork.WRITE, 0, expectedMicros));
    }
  }

  /**
   * One draw from the state's cell and one from its zone, else any; fewer tokens under way wins.
   * Departure: a cell with more than its part of the zone's readers keeps only its writers' part of
   * its states, by chance: of many gateways each sees few of their tokens and would always find
   * them idle.
   */
  private ServerState selectWriter(InFlightRequest request) {
    ServerEntry reader = request.stateHolder.entry;
    List<ServerState> able =
        ServerEligibility.preferIfAny(
            eligibility.writers(request), server -> capacity.hasCapacity(server, request));
    List<ServerState> zone =
        ServerEligibility.preferIfAny(able, server -> server.entry.zone() == reader.zone());
    List<ServerState> cell =
        zone.stream().filter(server -> server.entry.cell() == reader.cell()).toList();
    if (cell.isEmpty()) {
      return lessLoaded(request, draw(zone), draw(zone));
    }
    if (random.nextDouble() * servers.table().readerShareOfCell(reader) * zone.size()
        >= cell.size()) {
      return draw(
          ServerEligibility.preferIfAny(zone, server -> server.entry.cell() != reader.cell()));
    }
    return lessLoaded(request, draw(cell), draw(zone));
  }

  private ServerState lessLoaded(InFlightRequest request, ServerState near, ServerState far) {
    double clearly = near == null || near.entry.cell() == far.entry.cell() ? 1 : REMOTE_LOAD_FACTOR;
    return near == null
            || servers.latency().writeLoad(request, far)
                >= servers.latency().writeLoad(request, near) * clearly
        ? near
        : far;
  }

  private ServerState draw(List<ServerState> from) {
    return from.isEmpty() ? null : from.get(random.nextInt(from.size()));
  }

  // ==== attempts
  /**
   * After an attempt that left the request unanswered: write what was read, try again, or settle.
   */
  private void continueRequest(InFlightRequest request) {
    if (request.attemptsInFlight > 0) {
      return;
    }
    Attempt last = request.lastAttempt();
    if (last.neverRan && request.reservedState.isDue(clock.nowMicros())) {
      // Writers that never come up: a further one would hold the state beyond its time.
      stateReleases.releaseIfIdle(request);
    }
    boolean retry = !last.reads() || request.stateHolder == null;
    boolean readAnew = retryPolicy.mayHaveConsumedState(request, last);
    Optional<DecisionReason> refusal = retryPolicy.takeFurtherAttempt(request, retry);
    if (refusal.isPresent()) {
      completion.complete(request, refusal.get());
      return;
    }
    if (retry) {
      host.trace(request.id(), DecisionReason.RETRY);
    }
    if (request.stateHolder != null && !readAnew) {
      dispatchWrite(request);
    } else if (!dispatchRead(request)) {
      completion.complete(request, DecisionReason.NO_READER);
    }
  }

  /** The only place that sends; its callers pick among {@link ServerEligibility} candidates. */
  private void send(InFlightRequest request, AttemptPlan plan) {
    Attempt attempt = new Attempt(plan, clock.nowMicros(), request.writeTokens());
    capacity.recordSent(attempt);
    if (attempt.writes()) {
      request.possibleEffect = request.possibleEffect == null ? attempt : request.possibleEffect;
    }
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    servers.recordSent(attempt);
    host.send(request.id(), attempt.server.id(), 0);
    timeouts.start(request, attempt);
    if (attempt.work == AttemptWork.READ) {
      stateReleases.readSent(request, timeouts.suspectAfterMicros(attempt));
    }
  }

  /** Books an attempt's end: tokens under way, health, and what it says of the server's speed. */
  private void recordEnd(InFlightRequest request, Attempt attempt, AttemptResult result) {
    attempt.ended = true;
    attempt.neverRan = NEVER_RAN.contains(result.outcome());
    attempt.failed =
        result.outcome() != AttemptOutcome.PROMPT_READ && !(attempt.timedOut && !attempt.writes());
    request.attemptsInFlight--;
    capacity.recordEnded(attempt);
    if (request.possibleEffect == attempt && attempt.neverRan) {
      request.possibleEffect = null;
    }
    long uncachedTokens = Math.max(0, request.attributes.promptTokens() - result.cachedTokens());
    if (attempt.reads()
        && (result.outcome() == AttemptOutcome.PROMPT_READ
            || result.outcome() == AttemptOutcome.OK)) {
      recordUncached(request.attributes.classId(), uncachedTokens);
    }
    switch (result.outcome()) {
      case PROMPT_READ -> {
        servers.recordAnswer(attempt, AttemptVerdict.SUCCESS);
        servers
            .latency()
            .recordRead(attempt, uncachedTokens + READ_OVERHEAD_TOKENS, result.elapsedMicros());
        remember(request, attempt.server);
      }
      case OK -> {
        servers.recordAnswer(attempt, AttemptVerdict.SUCCESS);
        servers.latency().recordStreamPace(request, attempt, result.elapsedMicros());
      }
      case REJECTED -> {
        servers.recordAnswer(attempt, AttemptVerdict.NEUTRAL);
        if (!result.stateMissing()) {
          servers.latency().recordRejection(attempt.server);
          capacity.recordRejection(attempt);
        }
      }
      case ABANDONED_BEFORE_SEND -> servers.recordAnswer(attempt, AttemptVerdict.NEUTRAL);
      case CANCELLED ->
          servers.recordAnswer(
              attempt, attempt.timedOut ? AttemptVerdict.FAILURE : AttemptVerdict.NEUTRAL);
      default -> servers.recordAnswer(attempt, AttemptVerdict.FAILURE);
    }
  }

  // ==== the end of a request

  // ==== health

  /** What is usually new in a class, from what its reads had not kept. */
  private void recordUncached(int classId, long uncachedTokens) {
    usualNewTokens[classId] +=
        (usualNewTokens[classId] == 0 ? 1 : RoleStatistics.WEIGHT)
            * (uncachedTokens - usualNewTokens[classId]);
  }
}
