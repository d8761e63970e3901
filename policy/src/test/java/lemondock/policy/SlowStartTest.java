package lemondock.policy;

import static lemondock.policy.RecordingHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates the slow start of part of a fleet: many independent routers, readers with queues,
 * uneven traffic and a burst. Readers that start at the same time must not get more load from all
 * gateways together than the settings allow, but enough that the warm readers are not overloaded
 * instead. Times are in microseconds.
 */
class SlowStartTest {
  private static final int READERS = 10;
  private static final int REPLACED_READERS = 6;

  /** Requests of mean size that a warm reader reads per second. */
  private static final double CAPACITY_PER_SECOND = 20;

  private static final long REPLACED_AT_MICROS = 20 * SECOND;
  private static final long END_MICROS = REPLACED_AT_MICROS + 14 * SECOND;
  private static final long WRITE_MICROS = 30_000;

  /** The two writers have this id and the next one, the initial readers lower ones. */
  private static final int FIRST_WRITER_ID = 100;

  /** Readers that replace others have ids above this one. */
  private static final int REPLACEMENT_IDS = 1_000;

  private static final int MEAN_PROMPT_TOKENS = 1_000;

  /** Mean over all gateways: one in five has four times the load of the others. */
  private static final double MEAN_RELATIVE_LOAD = 1.6;

  private static final int MANY_SESSIONS = 400;

  /** A single reader is the primary of all traffic, which exceeds the capacity of the fleet. */
  private static final int ONE_SESSION = 1;

  /** Load of the requests that arrive, as a share of the warm fleet's capacity. */
  private static final double LOAD = 0.55;

  private static final double OVERLOAD = 1.2;

  private record Event(long atMicros, long order, Runnable task) {}

  /** A request in flight at a gateway, with the number of attempts sent for it. */
  private static final class OpenRequest {
    private final int promptTokens;
    private int attempts;

    OpenRequest(int promptTokens) {
      this.promptTokens = promptTokens;
    }
  }

  /** The work of a request that was sent to a server, as a multiple of a mean request's. */
  private record SentWork(long atMicros, double work) {}

  /**
   * A simulated fleet. The routers get the slow-start rules passed to the constructor; the readers
   * behave according to those of {@link RecordingHost}.
   */
  private static final class Fleet {
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Map<Long, Long> freeAtMicros = new HashMap<>();
    private final Map<Long, ArrayDeque<SentWork>> recentWork = new HashMap<>();
    private final ServiceRules rules = RecordingHost.settings(4, true).rules();
    private final double load;
    private final int sessions;
    private long now;
    private long order;
    private long requests;

    /** Highest ratio of the work sent to a replacement in a window to the work allowed in it. */
    private double worstLoadRatio;

    /** Work sent to replacements, from one second after the replacement on. */
    private double replacementWork;

    /** Work sent to all readers in the same time. */
    private double totalWork;

    Fleet(int gatewayCount, long seed, double load, int sessions, ServiceRules routerRules) {
      random = new SplittableRandom(seed);
      this.sessions = sessions;
      this.load = load;
      for (int i = 0; i < gatewayCount; i++) {
        double relativeLoad = i % 5 == 0 ? 4 : 1;
        gateways.add(new Gateway(routerRules, gatewayCount, random.nextLong(), relativeLoad));
      }
    }

    void at(long atMicros, Runnable task) {
      events.add(new Event(Math.max(now, atMicros), order++, task));
    }

    void run() {
      List<ServerEntry> servers = new ArrayList<>();
      for (int i = 1; i <= READERS; i++) {
        servers.add(RecordingHost.readyServer(i, RecordingHost.READER, 0));
      }
      servers.add(RecordingHost.readyServer(FIRST_WRITER_ID, RecordingHost.WRITER, 0));
      servers.add(RecordingHost.readyServer(FIRST_WRITER_ID + 1, RecordingHost.WRITER, 0));
      for (Gateway gateway : gateways) {
        gateway.router.started(now);
        gateway.router.endpointsChanged(now, EndpointListKind.FULL_LIST, servers);
        gateway.scheduleArrival();
      }
      at(REPLACED_AT_MICROS, this::replaceReaders);
      while (!events.isEmpty() && events.peek().atMicros() < END_MICROS) {
        Event next = events.poll();
        now = next.atMicros();
        next.task().run();
      }
    }

    private void replaceReaders() {
      List<ServerEntry> changes = new ArrayList<>();
      for (int i = 1; i <= REPLACED_READERS; i++) {
        changes.add(RecordingHost.newServer(i, RecordingHost.READER, 0, ServerLifecycle.GONE, 0));
        changes.add(
            RecordingHost.newServer(
                REPLACEMENT_IDS + i, RecordingHost.READER, 0, ServerLifecycle.READY, now));
      }
      for (Gateway gateway : gateways) {
        at(
            now + random.nextInt(300_000),
            () -> gateway.router.endpointsChanged(now, EndpointListKind.CHANGES, changes));
      }
    }

    private static boolean isReplacement(long server) {
      return server > REPLACEMENT_IDS;
    }

    private double speed(long server) {
      return !isReplacement(server)
          ? 1
          : Math.min(
              1,
              rules.slowStartInitialShare()
                  + (1 - rules.slowStartInitialShare())
                      * (now - REPLACED_AT_MICROS)
                      / rules.slowStartMicros());
    }

    /** Queues a read at a reader and returns the time at which it will be done. */
    long read(long server, double work) {
      if (now > REPLACED_AT_MICROS + SECOND) {
        totalWork += work;
        replacementWork += isReplacement(server) ? work : 0;
      }
      if (isReplacement(server)) {
        recordWindow(server, work);
      }
      long fromMicros = Math.max(now, freeAtMicros.getOrDefault(server, 0L));
      long doneAtMicros = fromMicros + (long) (work / CAPACITY_PER_SECOND / speed(server) * SECOND);
      freeAtMicros.put(server, doneAtMicros);
      return doneAtMicros;
    }

    private void recordWindow(long server, double work) {
      ArrayDeque<SentWork> sent = recentWork.computeIfAbsent(server, id -> new ArrayDeque<>());
      sent.add(new SentWork(now, work));
      while (sent.peek().atMicros() < now - rules.overloadWindowMicros()) {
        sent.poll();
      }
      double allowed =
          CAPACITY_PER_SECOND
              * speed(server)
              * rules.overloadFactor()
              * rules.overloadWindowMicros()
              / SECOND;
      double upperBound = allowed + 2 * Math.sqrt(allowed) + 2;
      worstLoadRatio =
          Math.max(worstLoadRatio, sent.stream().mapToDouble(SentWork::work).sum() / upperBound);
    }

    /** One gateway, the host of its router. All reads and writes succeed. */
    private final class Gateway implements RouterHost {
      private final Control router;
      private final double requestsPerSecond;
      private final Map<Long, OpenRequest> openRequests = new HashMap<>();

      Gateway(ServiceRules routerRules, int gatewayCount, long seed, double relativeLoad) {
        router = new Control(settings(routerRules, gatewayCount), seed, this);
        requestsPerSecond =
            relativeLoad / MEAN_RELATIVE_LOAD * load * READERS * CAPACITY_PER_SECOND / gatewayCount;
      }

      private static RouterSettings settings(ServiceRules rules, int gatewayCount) {
        RouterSettings defaults = RecordingHost.settings(4, true, gatewayCount);
        return RouterSettings.builder()
            .gatewayIndex(defaults.gatewayIndex())
            .gatewayCount(defaults.gatewayCount())
            .zone(defaults.zone())
            .timerResolutionMicros(defaults.timerResolutionMicros())
            .classes(defaults.classes())
            .serverKinds(
                List.of(
                    defaults.serverKinds().get(0), new ServerKind(ServerRole.WRITER, 50_000_000)))
            .limits(defaults.limits())
            .rules(rules)
            .build();
      }

      void scheduleArrival() {
        boolean burst =
            now > REPLACED_AT_MICROS + 3 * SECOND && now < REPLACED_AT_MICROS + 5 * SECOND;
        double seconds = exponentialDraw() / requestsPerSecond / (burst ? 1.5 : 1);
        at(now + (long) (seconds * SECOND), this::arrive);
      }

      private void arrive() {
        long id = ++requests;
        int promptTokens = (int) Math.max(100, exponentialDraw() * MEAN_PROMPT_TOKENS);
        openRequests.put(id, new OpenRequest(promptTokens));
        router.requestArrived(
            now,
            RecordingHost.newRequest(
                id, RecordingHost.IDEMPOTENT_CLASS, 1 + random.nextInt(sessions), 0, promptTokens));
        scheduleArrival();
      }

      private double exponentialDraw() {
        return -Math.log(1 - random.nextDouble());
      }

      @Override
      public void send(long id, long server, long timeoutMicros, long latestSendMicros) {
        OpenRequest request = openRequests.get(id);
        int attempt = request.attempts++;
        long sentAtMicros = now;
        if (server < FIRST_WRITER_ID || isReplacement(server)) {
          at(
              read(server, request.promptTokens / (double) MEAN_PROMPT_TOKENS),
              () -> endRead(id, attempt, server, now - sentAtMicros));
        } else {
          at(now + WRITE_MICROS, () -> endWrite(id, attempt, server));
        }
      }

      private void endRead(long id, int attempt, long server, long elapsedMicros) {
        router.attemptEnded(
            now,
            AttemptResult.builder()
                .requestId(id)
                .attempt(attempt)
                .serverId(server)
                .outcome(AttemptOutcome.PROMPT_READ)
                .elapsedMicros(elapsedMicros)
                .build());
      }

      private void endWrite(long id, int attempt, long server) {
        router.firstToken(now, id, attempt, server, WRITE_MICROS);
        router.attemptEnded(
            now,
            AttemptResult.builder()
                .requestId(id)
                .attempt(attempt)
                .serverId(server)
                .outcome(AttemptOutcome.OK)
                .elapsedMicros(WRITE_MICROS)
                .requestEnded(true)
                .build());
      }

      @Override
      public void reject(long id, long retryAfterMicros) {}

      @Override
      public void fail(long id) {}

      @Override
      public void cancel(long id, int attempt) {}

      @Override
      public void releaseState(long id) {}

      @Override
      public void setTimer(long token, long delayMicros) {
        at(now + delayMicros, () -> router.timerFired(now, token));
      }

      @Override
      public void watchEndpoints() {}

      @Override
      public void log(String line) {}
    }
  }

  private static ServiceRules rules(double initialShare, double overloadFactor) {
    ServiceRules defaults = RecordingHost.settings(4, true).rules();
    return ServiceRules.builder()
        .answerSlackMicros(defaults.answerSlackMicros())
        .drainGraceMicros(defaults.drainGraceMicros())
        .slowStartInitialShare(initialShare)
        .slowStartMicros(defaults.slowStartMicros())
        .overloadFactor(overloadFactor)
        .overloadWindowMicros(defaults.overloadWindowMicros())
        .releaseWithinMicros(defaults.releaseWithinMicros())
        .build();
  }

  @Test
  void allGatewaysTogetherStayWithinTheSlowStartLimit() {
    ServiceRules defaults = RecordingHost.settings(4, true).rules();
    for (int gateways : new int[] {3, 30, 100}) {
      for (int seed = 1; seed <= 4; seed++) {
        for (int sessions : new int[] {MANY_SESSIONS, ONE_SESSION}) {
          Fleet fleet =
              new Fleet(
                  gateways,
                  seed,
                  sessions == ONE_SESSION ? OVERLOAD : LOAD,
                  sessions,
                  rules(defaults.slowStartInitialShare(), defaults.overloadFactor()));
          fleet.run();
          String scenario = gateways + " gateways, seed " + seed + ", " + sessions + " sessions: ";
          assertTrue(
              fleet.worstLoadRatio < 1,
              scenario + "a server in slow start got " + fleet.worstLoadRatio + " times its limit");
          assertTrue(
              sessions == ONE_SESSION || fleet.replacementWork > 0.4 * fleet.totalWork,
              scenario
                  + "share of work sent to replacements, expected more than 0.4: "
                  + fleet.replacementWork / fleet.totalWork);
        }
      }
    }
  }

  /**
   * Shows that the test above can fail: routers without slow start overload a server. Three
   * gateways do not, because each of them sees the server's queue in time.
   */
  @Test
  void exceedsTheLimitWithoutSlowStart() {
    for (int gateways : new int[] {30, 100}) {
      double worstLoadRatio = 0;
      for (int seed = 1; seed <= 4; seed++) {
        Fleet fleet = new Fleet(gateways, seed, OVERLOAD, ONE_SESSION, rules(1, 100));
        fleet.run();
        worstLoadRatio = Math.max(worstLoadRatio, fleet.worstLoadRatio);
      }
      assertTrue(worstLoadRatio > 1, gateways + " gateways: highest load ratio " + worstLoadRatio);
    }
  }
}
