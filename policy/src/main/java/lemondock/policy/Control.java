package lemondock.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Every decision of the router; its interface (types, events, actions) is {@code
 * RequestRouter.java}.
 *
 * <p>One instance a gateway, single-threaded. A request's life runs top to bottom: it is admitted
 * or parked, read (session table, else rendezvous hash), written (two draws), and ends with one
 * final answer. The five rules are guarded in one place each: the final answer in {@link #settle},
 * repeats in {@link #mayRepeat}, drains and cold servers in {@link #open}, and held state in {@link
 * #letGo}.
 */
public final class Control implements RequestRouter {
  // Times in microseconds, lengths in tokens, shares and factors without unit.
  // ---- session affinity
  static final long SESSION_TTL =
      60_000_000L; // idle life of a session's entry, and of a known prefix
  static final long REAP_EVERY = 5_000_000L; // between two rounds of the reaper
  static final int LONG_UNKEPT = 1_500; // more unkept prompt than this is for readers only
  static final int READ_OVERHEAD = 300; // added to each read for its fixed cost
  static final int READERS_A_HOME =
      8; // a prefix has one home, and one more for each so many readers
  static final double HOME_AIM_SHARE =
      0.2; // a home is kept while its read takes this share of the aim,
  static final double HOME_TIMES_BEST = 3.0; // or this many times the best reader's
  static final double READ_AIM_SHARE =
      0.7; // a read must end within this share of what is left of the aim
  // ---- choice of a writer
  static final double FAR_CLEARLY = 0.7; // a far writer wins only below this share of the near load
  // ---- admission
  static final double LATE_FIRST =
      0.2; // a first token past this share of the aim: the writer has too much
  static final double PACE_FULL =
      0.9; // streams at this share of the wanted time: the writer has no room
  static final double ROOM_CUT =
      2.0; // requests of room lost with each such sign; a prompt one gains one
  static final double ROOM_IN_USE =
      0.5; // while more than this share of what is open to it is in use
  static final double ROOM_START =
      1.2; // in even shares of the memory: gateways use writers unevenly
  static final long UNTOLD_MEMORY = 100_000L; // taken for a kind of server that tells none
  static final double LESSER_SHARE = 0.8; // of the room, open to classes worth less than the best
  static final double OVER_QUOTA_SHARE = 0.6; // of the room, open to a tenant beyond its quota
  static final double PARK_SHARE = 0.5; // of the aim, the longest wait for room before a refusal
  static final int MOST_PASSED = 8; // parked requests that one look passes over
  static final long PARK_LOOK = 50_000L; // between two looks when nothing else happens
  static final long RETRY_ADVICE = 500_000L; // to a refused client
  static final long SHUTDOWN_MARGIN =
      300_000L; // before the kill, for last answers to reach their clients
  // ---- attempts
  static final double PATIENCE_AIM_SHARE =
      0.9; // an attempt is overdue past this share of the aim's rest
  static final double PATIENCE_TIMES = 2.0; // and after this many times what it should take,
  static final double PATIENCE_WAITS = 5.0; // with this many times what its role's work waits now
  static final double SUSPECT_SHARE = 0.8; // of the time to calling off: its answer may be lost
  static final double RETRY_EARNED =
      0.3; // extra attempts for each request: no storm when all is slow
  static final double RETRY_MOST = 5.0; // extra attempts saved up at most
  // ---- health
  static final double OUTCOME_KEPT = 0.7; // weight of a server's older outcomes at each new one
  static final double OUTCOME_PRIOR = 2.0; // outcomes of the role that stand in for unseen ones
  static final double SUSPECT_FAILURES =
      0.3; // share of failures above the role's that makes a suspect
  static final double TRIAL_FAILURES = 0.12; // above it one unanswered attempt at a time
  static final double PACE_WEIGHT = 0.15; // of a new stream in a server's pace
  static final double WAIT_WEIGHT = 0.5; // of a new wait in a server's
  static final double ROLE_WEIGHT = 0.1; // of a new outcome or wait in those of the role
  static final double FASTER_WEIGHT = 0.3; // of a quicker case in what a thing takes unhindered,
  static final double SLOWER_TIMES = 1.1; // and its growth at each slower one
  static final double UNSEEN_PER_TOKEN = 100; // time to read a token, until reads have been seen
  static final double UNSEEN_FIRST = 50_000; // the same for a first token at a writer
  static final long FULL_WAIT =
      1_000_000L; // the wait that a server without a free place stands for
  static final long FORGIVE = 8_000_000L; // outcomes fade by 1/e: a suspect is tried again
  static final long WAIT_FADE = 10_000_000L; // waits fade by 1/e
  // ---- cold servers
  static final double COLD_CAUTION = 0.85; // of the rate that a cold server bears before it falls
  static final double SPEED_LEAST = 0.1; // of a cold server, where the settings promise less
  static final double WORK_LEAST =
      0.2; // of a mean request, what the smallest counts against a cold server
  static final double COLD_LEAST =
      1.0; // requests a second to a cold server from all gateways together
  static final long RATE_MEMORY = 15_000_000L; // of the counts of answers and requests

  enum Timer {
    DEADLINE,
    PARK,
    REAP,
    LOOK,
    WATCH,
    HELD
  }

  private static final Timer[] TIMERS = Timer.values();
  private static final Set<AttemptOutcome> NEVER_RAN =
      EnumSet.of(
          AttemptOutcome.REJECTED,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.ABANDONED_BEFORE_SEND);
  private static final Comparator<Flight> WORTH_THEN_AGE =
      Comparator.<Flight>comparingDouble(f -> -f.cls.priorityWeight())
          .thenComparing(f -> f.arrivedAt)
          .thenComparing(f -> f.request.id());

  private final RouterSettings settings;
  private final RouterHost host;
  private final SplittableRandom random;
  private final Map<Long, Server> servers = new TreeMap<>();
  private List<Server> readers = List.of(); // the ready ones, mixed servers among them
  private List<Server> writers = List.of();
  private final Map<Long, Flight> flights = new HashMap<>();
  private final Map<Long, Session> sessions = new HashMap<>();
  private final TreeSet<Flight> parked = new TreeSet<>(WORTH_THEN_AGE);
  private final Map<ServerRole, RoleFigures> figures = new EnumMap<>(ServerRole.class);
  private final List<Rate> tenantRates;
  private final double[] newTokens; // usual in each class, 0 while unknown
  private final boolean
      mixedFleet; // writers of two roles: the pace of one role sends work to the other
  private double retries = RETRY_MOST;
  private double meanTokens; // of a request, prompt and answer
  private long tokensUnderWay;
  private long tokensWriting;
  private double room;
  private boolean lookSet;
  private long heldTimerAt = Long.MAX_VALUE;
  private long killedAt = Long.MAX_VALUE;
  private long now;

  /** One server: what the list says and what this gateway has seen of it. */
  private static final class Server {
    ServerEntry info;
    ServerLifecycle standing;
    ServerKind kind;
    RoleFigures role;
    long readTokens;
    long writeTokens;
    double failed;
    double worked;
    double wait;
    long waitAt;
    long newestAnswered;
    long answeredAt;
    long scoredAt;
    double pace;
    final Rate answers = new Rate();
    double credit;
    long creditAt;
    double rank; // for the request at hand
    final Map<Long, Long> prefixes = new HashMap<>();
    final LinkedHashSet<Attempt> unanswered = new LinkedHashSet<>();
  }

  private static final class Attempt {
    Server server;
    boolean reads;
    boolean writes;
    long sentAt;
    long expected;
    long overdueAt;
    long lookedAt;
    long tokens;
    long unkept;
    long readAtSend;
    long writingAtSend;
    long firstTook;
    boolean ended;
    boolean calledOff;
    boolean failed;
    boolean neverRan;
  }

  private static final class Flight {
    RoutingRequest request;
    RequestClass cls;
    long arrivedAt;
    long aim;
    long answerTokens;
    Server stateAt;
    HeldState held;
    Session session;
    double luck;
    boolean ended;
    boolean streaming;
    int out;
    Attempt mayHaveRun;
    final List<Attempt> attempts = new ArrayList<>();

    long writeTokens() {
      return request.promptTokens() + answerTokens;
    }
  }

  /** Where a session's earlier turns were read. */
  private record Session(long serverId, int keptTokens, long usedAt) {}

  /** A fading count of events. */
  private static final class Rate {
    double count;
    long at;

    void add(long now) {
      count = 1 + faded(count, now - at, RATE_MEMORY);
      at = now;
    }

    double perSecond(long now) {
      return faded(count, now - at, RATE_MEMORY) * 1e6 / RATE_MEMORY;
    }
  }

  /** What all servers of one role have shown: the stand-in for what is not known of one. */
  private static final class RoleFigures {
    double warmRate;
    long warmRateAt = Long.MIN_VALUE;
    double perReadToken = UNSEEN_PER_TOKEN;
    double firstToken = UNSEEN_FIRST;
    double failing;
    double pace;
    double wait;
    int waits;
  }

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
    for (RequestClass c : settings.classes()) {
      require(
          c.latencyObjectiveMicros() > 0 && c.deadlineMicros() >= c.latencyObjectiveMicros(),
          "a class's deadline lies before its aim");
    }
    for (ServerRole role : ServerRole.values()) {
      figures.put(role, new RoleFigures());
    }
    mixedFleet = settings.serverKinds().stream().anyMatch(k -> k.role() == ServerRole.MIXED);
    newTokens = new double[settings.classes().size()];
    room = Math.min(1, ROOM_START / Math.max(1, settings.gatewayCount()));
    tenantRates = settings.tenants().stream().map(t -> new Rate()).toList();
  }

  private static void require(boolean holds, String what) {
    if (!holds) {
      throw new IllegalArgumentException(what);
    }
  }

  // ==== events
  @Override
  public void started(long at) {
    now = at;
    host.setTimer(token(0, Timer.REAP), REAP_EVERY);
    if (settings.limits().pollsEndpointList()) {
      host.watchEndpoints();
    }
  }

  @Override
  public void endpointsChanged(long at, EndpointListKind kind, List<ServerEntry> entries) {
    now = at;
    if (kind == EndpointListKind.FAILED) {
      host.watchEndpoints();
      return;
    }
    if (kind != EndpointListKind.CHANGES) {
      servers.values().forEach(s -> s.standing = ServerLifecycle.GONE);
    }
    figures.values().forEach(role -> role.warmRateAt = Long.MIN_VALUE);
    entries.forEach(this::list);
    servers.values().removeIf(s -> s.standing == ServerLifecycle.GONE && s.unanswered.isEmpty());
    readers = readyBut(ServerRole.WRITER);
    writers = readyBut(ServerRole.READER);
    admitParked();
  }

  @Override
  public void requestArrived(long at, RoutingRequest request) {
    now = at;
    Flight f = new Flight();
    f.request = request;
    f.cls = settings.classes().get(request.classId());
    f.held = new HeldState(settings.rules().releaseWithinMicros());
    f.arrivedAt = now;
    f.luck = random.nextDouble();
    f.aim =
        f.cls.latencyObjectiveMicros()
            + f.cls.objectiveMicrosPerThousandTokens() * request.promptTokens() / 1000;
    f.answerTokens =
        request.expectedWriteMicros() > 0 && f.cls.tokenIntervalObjectiveMicros() > 0
            ? Math.max(1, request.expectedWriteMicros() / f.cls.tokenIntervalObjectiveMicros())
            : Math.max(1, request.maxAnswerTokens() / 2);
    flights.put(request.id(), f);
    meanTokens += (meanTokens == 0 ? 1 : ROLE_WEIGHT) * (f.writeTokens() - meanTokens);
    retries = Math.min(RETRY_MOST, retries + RETRY_EARNED);
    if (request.tenantId() < tenantRates.size() && !request.clientRetry()) {
      tenantRates.get(request.tenantId()).add(now);
    }
    long rest = Math.max(0, request.clientTimeoutMicros() - settings.timerResolutionMicros());
    host.setTimer(token(request.id(), Timer.DEADLINE), rest);
    if (endsLate(f)) {
      settle(f, DecisionReason.SHUTTING_DOWN);
    } else if (!admits(f) || !read(f)) {
      park(f);
    }
  }

  @Override
  public void shutdownStarted(long at, long until) {
    now = at;
    killedAt = until;
    long left = Math.max(0, until - SHUTDOWN_MARGIN - now); // none may be cut off without an answer
    flights.keySet().forEach(id -> host.setTimer(token(id, Timer.DEADLINE), left));
  }

  /**
   * Whether the longest answer, begun as late as may be, goes on at the wanted pace beyond the
   * kill.
   */
  private boolean endsLate(Flight f) {
    long longest =
        f.request.clientTimeoutMicros()
            + f.request.maxAnswerTokens() * f.cls.tokenIntervalObjectiveMicros();
    return killedAt < Long.MAX_VALUE && now + longest > killedAt;
  }

  @Override
  public void firstToken(long at, long requestId, int attempt, long serverId, long took) {
    now = at;
    Flight f = flights.get(requestId);
    if (f == null || attempt >= f.attempts.size()) {
      return;
    }
    final Attempt a = f.attempts.get(attempt);
    f.streaming = true;
    f.stateAt = null;
    f.held.taken();
    a.firstTook = Math.max(1, took);
    answered(a, true);
    learnFirst(f, a, took);
    if (a.reads) {
      remember(f, a.server);
    }
    admitParked();
  }

  @Override
  public void attemptEnded(long at, AttemptResult o) {
    now = at;
    Flight f = flights.get(o.requestId());
    if (f == null || o.attempt() >= f.attempts.size() || f.attempts.get(o.attempt()).ended) {
      return;
    }
    Attempt a = f.attempts.get(o.attempt());
    account(f, a, o);
    f.ended |= o.requestEnded();
    f.streaming &=
        a.firstTook == 0; // a stream that ends without ending its request leaves it unanswered
    if (o.outcome() == AttemptOutcome.PROMPT_READ) {
      f.stateAt = a.server;
      f.held.readAnswered(now);
    } else if (o.outcome() == AttemptOutcome.OK || o.stateMissing()) {
      f.held.taken();
    } else if (a.reads && !a.writes) {
      f.held.readFailed(now, a.neverRan);
    } else {
      f.held.writeFailed(now);
    }
    if (f.ended || f.streaming) {
      letGo(f);
    } else {
      next(f);
      awaitHeld(f);
    }
    forget(f);
    admitParked();
  }

  @Override
  public void clientDisconnected(long at, long requestId) {
    now = at;
    Flight f = flights.get(requestId);
    if (f != null && !f.ended) {
      f.ended = true;
      withdraw(f);
    }
  }

  @Override
  public void timerFired(long at, long token) {
    now = at;
    Timer kind = TIMERS[(int) (token % TIMERS.length)];
    Flight f = flights.get(token / TIMERS.length);
    if (kind == Timer.REAP) {
      reap();
    } else if (kind == Timer.LOOK) {
      lookSet = false;
      admitParked();
    } else if (kind == Timer.HELD) {
      releaseWhatIsDue();
    } else if (f == null || f.ended || f.streaming) {
      return;
    } else if (kind == Timer.WATCH) {
      lookAfter(f);
    } else if (kind == Timer.DEADLINE || parked.contains(f)) {
      settle(
          f,
          kind == Timer.DEADLINE ? DecisionReason.DEADLINE_EXCEEDED : DecisionReason.QUEUE_TIMEOUT);
    }
  }

  // ==== the list of servers
  private List<Server> readyBut(ServerRole role) {
    return servers.values().stream()
        .filter(s -> s.standing == ServerLifecycle.READY && s.kind.role() != role)
        .toList();
  }

  /**
   * A new process knows nothing and nothing is known of it; what is under way still counts for the
   * old.
   */
  private void list(ServerEntry entry) {
    require(entry.kind() < settings.serverKinds().size(), "server of an unknown kind");
    Server s = servers.get(entry.id());
    if (s == null || s.info.startedAtMicros() != entry.startedAtMicros()) {
      s = new Server();
      s.kind = settings.serverKinds().get(entry.kind());
      s.role = figures.get(s.kind.role());
      s.credit = random.nextDouble();
      s.creditAt = now;
      servers.put(entry.id(), s);
    }
    s.info = entry;
    s.standing = entry.lifecycle();
  }

  // ==== admission
  /**
   * Refuses before it costs work what the writers cannot take: tokens under way against the part of
   * their memory that this gateway has learned to use; one figure for all, for one of many gateways
   * sees each too rarely. Guards against overload, bursts, shared slowness and lost writers; could
   * harm where first tokens are late for another cause, until prompt ones let it grow back.
   */
  private boolean admits(Flight f) {
    return tokensUnderWay == 0
        || tokensUnderWay + f.writeTokens() <= room * memory() * openShare(f);
  }

  private double memory() {
    return Math.max(1, preferred(writers, this::healthy).stream().mapToLong(Control::memory).sum());
  }

  private static long memory(Server s) {
    return s.kind.memoryTokens() > 0 ? s.kind.memoryTokens() : UNTOLD_MEMORY;
  }

  /**
   * Under pressure the classes of less worth, and tenants beyond their share, are turned away
   * first.
   */
  private double openShare(Flight f) {
    int tenant = f.request.tenantId();
    if (tenant < tenantRates.size()) {
      double quota = settings.tenants().get(tenant).quotaPerSecond();
      if (quota > 0 && tenantRates.get(tenant).perSecond(now) * settings.gatewayCount() > quota) {
        return OVER_QUOTA_SHARE;
      }
    }
    return settings.classes().stream().anyMatch(c -> c.priorityWeight() > f.cls.priorityWeight())
        ? LESSER_SHARE
        : 1;
  }

  /** Waiting here costs no server anything and holds no state; it ends in time for another try. */
  private void park(Flight f) {
    parked.add(f);
    host.trace(f.request.id(), DecisionReason.QUEUED);
    long wait =
        Math.min((long) (f.aim * PARK_SHARE), f.request.clientTimeoutMicros() / 2)
            - (now - f.arrivedAt);
    host.setTimer(token(f.request.id(), Timer.PARK), Math.max(0, wait));
    visitState();
  }

  private void visitState() {
    if (!lookSet && !parked.isEmpty()) {
      lookSet = true;
      host.setTimer(token(0, Timer.LOOK), PARK_LOOK);
    }
  }

  @Override
  public void visitState(long at, RouterStateVisitor sight) {
    now = Math.max(now, at);
    servers.forEach((id, s) -> sight.server(id, s.kind.role(), s.standing, cold(s), healthy(s)));
    sight.totals(parked.size(), tokensUnderWay, Math.round(room * memory()));
  }

  private void admitParked() {
    Iterator<Flight> waiting = parked.iterator();
    for (int passed = 0; waiting.hasNext() && passed < MOST_PASSED; ) {
      Flight f = waiting.next();
      if (admits(f) && read(f)) {
        waiting.remove();
      } else {
        passed++;
      }
    }
    visitState();
  }

  // ==== the read
  /**
   * Sends the request to its reader; false if none can take it now, or, by chance, if it would be
   * late.
   */
  private boolean read(Flight f) {
    Option o = pickReader(f);
    double left = (f.aim - (now - f.arrivedAt)) * READ_AIM_SHARE;
    if (o == null || o.expected * f.luck > left) {
      return false;
    }
    send(f, o.server, true, o.server.kind.role() == ServerRole.MIXED, o.unkept, o.expected);
    return true;
  }

  /**
   * The session's reader, else the prefix's home by rendezvous hashing. Departure: a home whose
   * read would take clearly longer than the best one's is passed over for the next in rank. Guards
   * against a hot prefix, a slow or jammed reader and forgotten text; could harm by reading a text
   * twice too often.
   */
  private Option pickReader(Flight f) {
    List<Option> options = options(f);
    double aimed = f.aim * HOME_AIM_SHARE;
    if (options.stream().anyMatch(o -> o.suits && o.expected <= aimed)) {
      options.removeIf(o -> !o.suits); // else readers are jammed and mixed servers help out
    }
    double best = options.stream().mapToDouble(o -> o.expected).min().orElse(0);
    options.removeIf(o -> o.expected > Math.max(best * HOME_TIMES_BEST, aimed));
    return options.stream()
        .filter(o -> f.session != null && f.session.serverId() == o.server.info.id())
        .findFirst()
        .orElse(options.isEmpty() ? null : options.get(0));
  }

  /**
   * The servers that may read this request, by rank. A large fleet has more homes for a prefix,
   * which is too much for one reader if popular; a session picks by its own hash, so that all
   * gateways pick alike.
   */
  private List<Option> options(Flight f) {
    f.session = sessions.get(f.request.sessionId());
    List<Server> ranked = new ArrayList<>(candidates(f, readers));
    rank(ranked, f.request.prefixId() != 0 ? f.request.prefixId() : f.request.sessionId());
    int homes = Math.min(ranked.size(), 1 + ranked.size() / READERS_A_HOME);
    rank(ranked.subList(0, homes), f.request.sessionId());
    List<Option> options = new ArrayList<>();
    for (Server s : ranked) {
      options.add(option(f, s, options.size(), homes));
    }
    return options;
  }

  /**
   * Weighted rendezvous hashing: a cold server is first for its speed's part of the keys,
   * everywhere.
   */
  private void rank(List<Server> some, long key) {
    some.forEach(s -> s.rank = -Math.log(unit(mix(key ^ mix(s.info.id())))) / speed(s));
    some.sort(Comparator.comparingDouble(s -> s.rank));
  }

  /** A hash as a number between 0 and 1, neither of them, the smaller the larger the hash. */
  private static double unit(long hash) {
    return 1 - ((hash - Long.MIN_VALUE >>> 12) + 0.5) * 0x1p-52;
  }

  /**
   * A server that could read, the tokens that it has probably not kept, and what the read should
   * take.
   */
  private record Option(Server server, long unkept, long expected, boolean suits) {}

  /**
   * A mixed server suits short reads only, and only while it has room to write the answer in place.
   */
  private Option option(Flight f, Server s, int place, int homes) {
    long unkept = unkept(s, f, place == 0, place < homes) + READ_OVERHEAD;
    double reading = s.role.perReadToken * (s.readTokens + unkept) / speed(s);
    return new Option(
        s,
        unkept,
        (long) (waiting(s) + reading),
        s.kind.role() == ServerRole.READER || unkept <= LONG_UNKEPT && hasRoom(s, f));
  }

  private boolean hasRoom(Server s, Flight f) {
    double pace = mixedFleet ? Math.max(s.pace, s.role.pace) : s.pace;
    return pace < PACE_FULL
        && waiting(s) <= f.aim * LATE_FIRST
        && (s.writeTokens == 0 || s.writeTokens + f.writeTokens() <= room * memory(s));
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
  private long unkept(Server s, Flight f, boolean first, boolean home) {
    RoutingRequest r = f.request;
    boolean settled = home && !cold(s);
    long kept =
        settled && r.prefixId() != 0 || s.prefixes.containsKey(r.prefixId()) ? r.prefixTokens() : 0;
    if (f.session != null && f.session.serverId() == s.info.id()) {
      kept = Math.max(kept, f.session.keptTokens());
    }
    long unkept = Math.max(0, r.promptTokens() - kept);
    double usual = newTokens[r.classId()];
    return first && settled && usual > 0 ? Math.min(unkept, (long) usual) : unkept;
  }

  /** Binds only after a read that succeeded, so that a silent server does not keep its sessions. */
  private void remember(Flight f, Server s) {
    RoutingRequest r = f.request;
    if (r.sessionId() != 0) {
      sessions.put(r.sessionId(), new Session(s.info.id(), r.promptTokens(), now));
    }
    if (r.prefixId() != 0) {
      s.prefixes.put(r.prefixId(), now);
    }
  }

  private void reap() {
    sessions.values().removeIf(s -> now - s.usedAt() > SESSION_TTL);
    servers.values().forEach(s -> s.prefixes.values().removeIf(at -> now - at > SESSION_TTL));
    host.log(
        tokensUnderWay
            + " tokens under way of room "
            + Math.round(room * memory())
            + ", parked "
            + parked.size()
            + ", avoided "
            + servers.values().stream().filter(s -> !healthy(s)).map(s -> s.info.id()).toList()
            + ", reads wait us "
            + (long) figures.get(ServerRole.READER).wait
            + ", writes "
            + (long) figures.get(ServerRole.WRITER).wait);
    host.setTimer(token(0, Timer.REAP), REAP_EVERY);
  }

  // ==== the write
  private void write(Flight f) {
    Server s = pickWriter(f);
    if (s == null) {
      settle(f, DecisionReason.NO_WRITER);
    } else {
      send(f, s, false, true, 0, (long) s.role.firstToken);
    }
  }

  /**
   * One draw from the state's cell and one from its zone, else any; fewer tokens under way wins.
   * Departure: a cell with more than its part of the zone's readers keeps only its writers' part of
   * its states, by chance: of many gateways each sees few of their tokens and would always find
   * them idle.
   */
  private Server pickWriter(Flight f) {
    ServerEntry home = f.stateAt.info;
    List<Server> able = preferred(candidates(f, writers), s -> hasRoom(s, f));
    List<Server> zone = preferred(able, s -> s.info.zone() == home.zone());
    List<Server> cell = zone.stream().filter(s -> s.info.cell() == home.cell()).toList();
    if (cell.isEmpty()) {
      return lesser(f, draw(zone), draw(zone));
    }
    if (random.nextDouble() * readerPart(home) * zone.size() >= cell.size()) {
      return draw(preferred(zone, s -> s.info.cell() != home.cell()));
    }
    return lesser(f, draw(cell), draw(zone));
  }

  /** The cell's part of the readers of its zone. */
  private double readerPart(ServerEntry home) {
    List<Server> zone =
        readers.stream()
            .filter(s -> s.kind.role() == ServerRole.READER && s.info.zone() == home.zone())
            .toList();
    return zone.stream().filter(s -> s.info.cell() == home.cell()).count()
        / Math.max(1.0, zone.size());
  }

  private Server lesser(Flight f, Server near, Server far) {
    double clearly = near == null || near.info.cell() == far.info.cell() ? 1 : FAR_CLEARLY;
    return near == null || load(f, far) >= load(f, near) * clearly ? near : far;
  }

  private Server draw(List<Server> from) {
    return from.isEmpty() ? null : from.get(random.nextInt(from.size()));
  }

  private double load(Flight f, Server s) {
    double tokens = (s.writeTokens + f.writeTokens()) * (1 + waiting(s) / (f.aim * LATE_FIRST));
    return tokens / (s.info.weight() * speed(s));
  }

  // ==== attempts
  /**
   * After an attempt that left the request unanswered: write what was read, try again, or settle.
   */
  private void next(Flight f) {
    if (f.out > 0) {
      return;
    }
    Attempt last = f.attempts.get(f.attempts.size() - 1);
    if (last.neverRan && f.held.isDue(now)) {
      letGo(f); // writers that never come up: a further one would hold the state beyond its
      // time
    }
    boolean afresh = last.reads && f.stateAt != null;
    final boolean moved =
        last.writes
            && !last.neverRan
            && !firm(f, last)
            && settings.limits().maxAttempts() - f.attempts.size() > 1;
    if (!afresh) {
      retries--;
    }
    DecisionReason noFurther = noFurther(f, afresh);
    if (noFurther != null) {
      retries = Math.max(0, retries);
      settle(f, noFurther);
      return;
    }
    if (!afresh) {
      host.trace(f.request.id(), DecisionReason.RETRY);
    }
    if (f.stateAt != null && !moved) {
      write(f); // after a write that may have run the state is likely gone: read anew, then
      // cheap
    } else if (!read(f)) {
      settle(f, DecisionReason.NO_READER);
    }
  }

  /** Why there may be no further attempt, null if there may. */
  private DecisionReason noFurther(Flight f, boolean afresh) {
    if (now - f.arrivedAt >= f.request.clientTimeoutMicros()) {
      return DecisionReason.CLIENT_TIMEOUT;
    }
    if (spent(f)) {
      return DecisionReason.ATTEMPTS_EXHAUSTED;
    }
    return !afresh && retries < 0 ? DecisionReason.RETRY_BUDGET_EXHAUSTED : null;
  }

  /** Whether too few attempts are left to reach an answer: a read and a write, or a write alone. */
  private boolean spent(Flight f) {
    return settings.limits().maxAttempts() - f.attempts.size() < (f.stateAt == null ? 2 : 1);
  }

  /** A write that may not simply be tried again is never called off for being slow. */
  private static boolean firm(Flight f, Attempt a) {
    return a.writes && f.cls.idempotency() != Idempotency.IDEMPOTENT;
  }

  /**
   * Rule 2: whether a further attempt at this server could be a second effect. A plain read has
   * none.
   */
  private boolean mayRepeat(Flight f, Server s) {
    if (f.mayHaveRun == null || f.cls.idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    ServerEntry first = f.mayHaveRun.server.info;
    boolean inGroup =
        switch (f.cls.deduplicationScope()) {
          case ALL -> true;
          case ZONE -> first.zone() == s.info.zone();
          case CELL -> first.cell() == s.info.cell();
        };
    return f.cls.idempotency() == Idempotency.IDEMPOTENCY_KEY
        && inGroup
        && now - f.mayHaveRun.sentAt
            < f.cls.deduplicationWindowMicros() - settings.timerResolutionMicros();
  }

  /**
   * Rules 3 and 4: whether anything may go to this server at all. A cold one bears its part of what
   * a warm one answers to this gateway (what is turned away does not count). The part is earned as
   * credit, a mean request costs one, and each gateway starts at a random part of one: all of them
   * together make no burst.
   */
  private boolean open(Server s) {
    if (s.standing != ServerLifecycle.READY) {
      return false;
    }
    if (!cold(s)) {
      return true;
    }
    double part = speed(s) * settings.rules().overloadFactor() * COLD_CAUTION;
    double earned =
        Math.max(warmRate(s.role) * part, COLD_LEAST / Math.max(1, settings.gatewayCount()));
    s.credit = Math.min(1, s.credit + earned * (now - s.creditAt) / 1e6);
    s.creditAt = now;
    return s.credit >= 1;
  }

  /**
   * Answers a second from a warm server of the role to this gateway; the last known where none is
   * warm.
   */
  private double warmRate(RoleFigures role) {
    if (role.warmRateAt != now) { // once an event, whatever the number of cold servers
      role.warmRate =
          servers.values().stream()
              .filter(p -> p.role == role && p.standing == ServerLifecycle.READY && !cold(p))
              .mapToDouble(p -> p.answers.perSecond(now))
              .average()
              .orElse(role.warmRate);
      role.warmRateAt = now;
    }
    return role.warmRate;
  }

  private boolean cold(Server s) {
    return s.info.startedAtMicros() > 0
        && now - s.info.startedAtMicros() <= settings.rules().slowStartMicros();
  }

  /** Its part of a warm server's speed: at first what the settings promise, growing evenly. */
  private double speed(Server s) {
    if (!cold(s)) {
      return 1;
    }
    double least = Math.min(1, Math.max(SPEED_LEAST, settings.rules().slowStartInitialShare()));
    return least
        + (1 - least) * (now - s.info.startedAtMicros()) / settings.rules().slowStartMicros();
  }

  /** The only place that sends; its callers pick among {@link #open} servers. */
  private void send(Flight f, Server s, boolean reads, boolean writes, long unkept, long expected) {
    Attempt a = new Attempt();
    a.server = s;
    a.reads = reads;
    a.writes = writes;
    a.sentAt = now;
    a.expected = expected;
    a.tokens = f.writeTokens();
    tokensUnderWay += a.tokens;
    if (reads) {
      a.unkept = unkept;
      s.readTokens += a.unkept;
      a.readAtSend = s.readTokens;
    }
    if (writes) {
      s.writeTokens += a.tokens;
      tokensWriting += a.tokens;
      a.writingAtSend = tokensWriting;
      f.mayHaveRun = f.mayHaveRun == null ? a : f.mayHaveRun;
    }
    f.attempts.add(a);
    f.out++;
    s.unanswered.add(a);
    s.credit -= Math.max(WORK_LEAST, a.tokens / meanTokens);
    host.send(f.request.id(), s.info.id(), 0);
    watch(f, a);
    if (reads && !writes) {
      f.held.readSent(now, suspectAfter(a));
      awaitHeld(f);
    }
  }

  /** A read without an answer for so long has likely lost it: soon it is called off. */
  private long suspectAfter(Attempt a) {
    return a.overdueAt > now ? (long) ((a.overdueAt - now) * SUSPECT_SHARE) : usual(a);
  }

  /** What an attempt may take before it is more than slow, by what its role's work waits now. */
  private static long usual(Attempt a) {
    return (long) (a.expected * PATIENCE_TIMES + a.server.role.wait * PATIENCE_WAITS);
  }

  /** Older work has come back from its server since that moment: its queue moves. */
  private static boolean queueMoves(Attempt a, long since) {
    return a.server.answeredAt > since && a.server.newestAnswered <= a.sentAt;
  }

  /**
   * Looks after an attempt once it has taken far longer than it should, each time after twice that.
   */
  private void watch(Flight f, Attempt a) {
    if (settings.limits().mayCancel() && !firm(f, a)) {
      long before = f.attempts.stream().filter(b -> b.calledOff).count();
      double base = before == 0 ? f.aim - (now - f.arrivedAt) : f.aim * (1L << before);
      long patience = (long) Math.max(1, Math.max(base * PATIENCE_AIM_SHARE, usual(a)));
      a.overdueAt = now + patience;
      host.setTimer(token(f.request.id(), Timer.WATCH), patience);
    }
  }

  /**
   * Calls off an overdue attempt, so that the next server is tried. Overdue is judged by what work
   * at all servers of the role waits: one gateway cannot tell a lost answer, a stall or a cut link
   * from a queue, and under plain load all waits grow. Could harm where one server is jammed: the
   * read is done twice.
   */
  private void lookAfter(Flight f) {
    int number = f.attempts.size() - 1;
    Attempt a = f.attempts.get(number);
    if (a.ended || firm(f, a) || now < a.overdueAt || spent(f) || retries < 1) {
      return;
    }
    if (queueMoves(a, Math.max(a.sentAt, a.lookedAt))) {
      a.lookedAt = now;
      watch(f, a);
      return;
    }
    a.calledOff = true;
    host.trace(f.request.id(), DecisionReason.ATTEMPT_TIMEOUT);
    waited(a.server, now - a.sentAt - a.expected);
    host.cancel(f.request.id(), number);
  }

  /** Books an attempt's end: tokens under way, health, and what it says of the server's speed. */
  private void account(Flight f, Attempt a, AttemptResult o) {
    a.ended = true;
    a.neverRan = NEVER_RAN.contains(o.outcome());
    a.failed = o.outcome() != AttemptOutcome.PROMPT_READ && !(a.calledOff && !a.writes);
    f.out--;
    if (a.writes) {
      a.server.writeTokens -= a.tokens;
      tokensWriting -= a.tokens;
    }
    tokensUnderWay -= a.tokens;
    if (f.mayHaveRun == a && a.neverRan) {
      f.mayHaveRun = null;
    }
    long unkept = Math.max(0, f.request.promptTokens() - o.cachedTokens());
    if (a.reads
        && (o.outcome() == AttemptOutcome.PROMPT_READ || o.outcome() == AttemptOutcome.OK)) {
      learnNew(f.request.classId(), unkept);
    }
    switch (o.outcome()) {
      case PROMPT_READ -> {
        answered(a, true);
        learnRead(a, unkept + READ_OVERHEAD, o.elapsedMicros());
        remember(f, a.server);
      }
      case OK -> {
        answered(a, true);
        learnPace(f, a, o.elapsedMicros());
      }
      case REJECTED -> {
        answered(a, null);
        if (o.stateMissing()) {
          f.stateAt = null;
        } else {
          waited(a.server, FULL_WAIT);
          room -= a.writes ? cut(a) : 0;
        }
      }
      case ABANDONED_BEFORE_SEND -> answered(a, null);
      case CANCELLED -> answered(a, a.calledOff ? false : null);
      default -> answered(a, false);
    }
  }

  // ==== the end of a request
  /** Rule 1: the one final answer; a refusal only where trying again is harmless. */
  private void settle(Flight f, DecisionReason reason) {
    f.ended = true;
    host.trace(f.request.id(), reason);
    boolean harmless =
        f.cls.idempotency() == Idempotency.IDEMPOTENT
            || f.mayHaveRun == null && f.out == 0
            || f.cls.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && f.cls.deduplicationScope() == DeduplicationScope.ALL;
    if (harmless) {
      long advice = Math.min(RETRY_ADVICE, settings.limits().maxRetryAfterMicros());
      host.reject(f.request.id(), settings.limits().sendsRetryAfter() ? advice : 0);
    } else {
      host.fail(f.request.id());
    }
    withdraw(f);
  }

  /** Ends the attempts that are still out and lets go of what is held. */
  private void withdraw(Flight f) {
    for (int i = 0; i < f.attempts.size(); i++) {
      if (!f.attempts.get(i).ended && settings.limits().mayCancel() && !f.streaming) {
        host.cancel(f.request.id(), i);
      }
    }
    letGo(f);
    forget(f);
  }

  /**
   * Rule 5: what is held is released at its request's end, and again when a late read leaves a
   * state.
   */
  private void letGo(Flight f) {
    if (f.held.mayHold() && f.out == 0) {
      release(f);
    }
  }

  /** Rule 5 while an attempt is out, which may never have arrived or whose answer may be lost. */
  private void releaseWhatIsDue() {
    heldTimerAt = now >= heldTimerAt ? Long.MAX_VALUE : heldTimerAt;
    for (Flight f : flights.values()) {
      if (f.held.isDue(now) && f.held.onlyReading() && hasMovedOfLate(f)) {
        f.held.putOff(now);
      } else if (f.held.isDue(now)) {
        release(f);
      }
    }
    flights.values().forEach(this::awaitHeld);
  }

  /** Whether the queue of the read that is out has moved in the latter half of the read's time. */
  private boolean hasMovedOfLate(Flight f) {
    Attempt read = f.attempts.get(f.attempts.size() - 1);
    return queueMoves(read, read.sentAt + (now - read.sentAt) / 2);
  }

  private void release(Flight f) {
    host.trace(f.request.id(), DecisionReason.STATE_RELEASED);
    host.releaseState(f.request.id());
    f.stateAt = null;
    f.held.released(now, f.attempts.stream().anyMatch(a -> a.writes && !a.ended));
  }

  /** One timer serves all requests: a timer cannot be cancelled, and would outlive most of them. */
  private void awaitHeld(Flight f) {
    if (f.held.dueAt() < heldTimerAt) {
      heldTimerAt = f.held.dueAt();
      host.setTimer(token(0, Timer.HELD), Math.max(1, heldTimerAt - now));
    }
  }

  private void forget(Flight f) {
    parked.remove(f);
    if (f.ended && f.out == 0) {
      flights.remove(f.request.id());
    }
  }

  // ==== health
  /**
   * Ready servers that may take this request; the healthy that have not failed it yet, if any are.
   */
  private List<Server> candidates(Flight f, List<Server> ready) {
    List<Server> able = ready.stream().filter(s -> open(s) && mayRepeat(f, s)).toList();
    return preferred(
        preferred(able, this::healthy),
        s -> f.attempts.stream().noneMatch(a -> a.server == s && a.failed));
  }

  private static List<Server> preferred(List<Server> from, Predicate<Server> test) {
    List<Server> some = from.stream().filter(test).toList();
    return some.isEmpty() ? from : some;
  }

  /**
   * One judgement from outcomes: fast errors, a crash, lost answers, a cut link. The role's share
   * of failures stands in for what was not seen and counts as normal. Scores fade; a server on
   * trial gets one attempt at a time. Could harm one whose requests fail for their own sake.
   * Slowness is no verdict.
   */
  private boolean healthy(Server s) {
    double beyond = failures(s) - s.role.failing;
    return beyond < TRIAL_FAILURES || beyond < SUSPECT_FAILURES && s.unanswered.isEmpty();
  }

  private double failures(Server s) {
    double failed = faded(s.failed, now - s.scoredAt, FORGIVE);
    double worked = faded(s.worked, now - s.scoredAt, FORGIVE);
    return (failed + OUTCOME_PRIOR * s.role.failing) / (failed + worked + OUTCOME_PRIOR);
  }

  private static double faded(double value, long age, long life) {
    return value == 0
        ? 0
        : value * Math.exp(-(double) age / life); // most of a large fleet is unseen
  }

  /** An attempt is no longer silent; good is null where its end says nothing of the server. */
  private void answered(Attempt a, Boolean good) {
    Server s = a.server;
    boolean first = s.unanswered.remove(a);
    s.readTokens -= first ? a.unkept : 0;
    if (good == null) {
      return;
    }
    s.role.failing += ROLE_WEIGHT * ((good ? 0 : 1) - s.role.failing);
    if (first && good) {
      s.answers.add(now);
      s.role.warmRateAt = Long.MIN_VALUE;
    }
    s.failed = faded(s.failed, now - s.scoredAt, FORGIVE) * OUTCOME_KEPT + (good ? 0 : 1);
    s.worked = faded(s.worked, now - s.scoredAt, FORGIVE) * OUTCOME_KEPT + (good ? 1 : 0);
    s.pace = faded(s.pace, now - s.scoredAt, FORGIVE);
    s.scoredAt = now;
    if (good) {
      s.answeredAt = now;
      s.newestAnswered = Math.max(s.newestAnswered, a.sentAt);
    }
  }

  /**
   * How long work waits here beyond what it takes by itself, from what came back last or is still
   * out and not overtaken. One sign for queues of others' work, slow machines, stalls and silence
   * alike.
   */
  private double waiting(Server s) {
    double seen = faded(s.wait, now - s.waitAt, WAIT_FADE);
    for (Attempt a : s.unanswered) {
      if (a.sentAt > s.newestAnswered) {
        return Math.max(seen, now - a.sentAt - a.expected);
      }
    }
    return seen;
  }

  private void waited(Server s, double wait) {
    double seen = faded(s.wait, now - s.waitAt, WAIT_FADE);
    s.wait = seen + WAIT_WEIGHT * (Math.max(0, wait) - seen);
    s.waitAt = now;
    s.role.wait += Math.max(ROLE_WEIGHT, 1.0 / ++s.role.waits) * (Math.max(0, wait) - s.role.wait);
  }

  /** What is usually new in a class, from what its reads had not kept. */
  private void learnNew(int classId, long unkept) {
    newTokens[classId] +=
        (newTokens[classId] == 0 ? 1 : ROLE_WEIGHT) * (unkept - newTokens[classId]);
  }

  private void learnRead(Attempt a, long unkept, long took) {
    double work = a.readAtSend - a.unkept + unkept;
    double speed = speed(a.server);
    a.server.role.perReadToken = unhindered(a.server.role.perReadToken, took * speed / work);
    waited(a.server, took - a.server.role.perReadToken * work / speed);
  }

  /** What a thing takes when nothing is in its way: falls quickly, rises slowly. */
  private static double unhindered(double known, double seen) {
    return seen < known
        ? known + FASTER_WEIGHT * (seen - known)
        : Math.min(seen, known * SLOWER_TIMES);
  }

  /**
   * A first token that came late says that the writers have too much; one that never came may be
   * lost.
   */
  private void learnFirst(Flight f, Attempt a, long took) {
    RoleFigures role = a.server.role;
    if (a.reads) {
      learnRead(a, a.unkept, took);
    } else {
      role.firstToken = unhindered(role.firstToken, took);
      waited(a.server, took - role.firstToken);
    }
    if (took > f.aim * LATE_FIRST) {
      room -= cut(a);
    } else if (a.writingAtSend > room * memory() * openShare(f) * ROOM_IN_USE) {
      room = Math.min(1, room + a.tokens / memory());
    }
  }

  /**
   * Streams nearly too slow: no room. Guards against reads in place, neighbours, slow machines
   * alike.
   */
  private void learnPace(Flight f, Attempt a, long took) {
    double pace =
        (took - a.firstTook) / Math.max(1.0, f.answerTokens * f.cls.tokenIntervalObjectiveMicros());
    a.server.pace += PACE_WEIGHT * (pace - a.server.pace);
    a.server.role.pace += ROLE_WEIGHT * (pace - a.server.role.pace);
  }

  /**
   * What a sign of too much takes off the room: some gains, so late writes settle at one in so
   * many.
   */
  private double cut(Attempt a) {
    return Math.min(room, ROOM_CUT * a.tokens / memory());
  }

  /** The token of a request's timer; request 0 stands for the module's own. */
  static long token(long requestId, Timer kind) {
    return requestId * TIMERS.length + kind.ordinal();
  }
}
