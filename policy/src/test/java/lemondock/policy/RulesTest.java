package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import lemondock.policy.RecordingHost.Action;
import org.junit.jupiter.api.Test;

/**
 * Checks the five rules of the package against random but legal sequences of events, including rare
 * orders.
 */
class RulesTest {
  private static final int RUNS = 60;
  private static final int STEPS = 1500;
  private static final int LARGE_RUNS = 6;
  private static final int LARGE_FLEET = 80;
  private static final int MANY_GATEWAYS = 200;

  /** Outcomes of an attempt that prove that it had no effect. */
  private static final Set<AttemptOutcome> WITHOUT_EFFECT =
      EnumSet.of(
          AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.PROMPT_READ);

  /** One attempt from the servers' view. */
  private static final class AttemptRecord {
    final long server;
    final boolean writes;
    boolean streaming;
    Optional<AttemptOutcome> outcome = Optional.empty();

    AttemptRecord(long server, boolean writes) {
      this.server = server;
      this.writes = writes;
    }
  }

  /** One request from the view of its client and the servers. */
  private static final class RequestRecord {
    final RoutingRequest request;
    final long deadlineMicros;
    final List<AttemptRecord> attempts = new ArrayList<>();
    boolean ended;
    boolean stateHeld;

    RequestRecord(RoutingRequest request, long deadlineMicros) {
      this.request = request;
      this.deadlineMicros = deadlineMicros;
    }

    long id() {
      return request.id();
    }

    boolean hasNoAttemptInFlight() {
      return attempts.stream().allMatch(attempt -> attempt.outcome.isPresent());
    }

    boolean isStreaming() {
      return attempts.stream().anyMatch(attempt -> attempt.streaming);
    }
  }

  private record Timer(long dueAtMicros, long token) {}

  private final class Simulation {
    final Random random;
    final RouterSettings settings;
    final RecordingHost host = new RecordingHost();
    final Control control;
    final Map<Long, ServerEntry> servers = new HashMap<>();
    final Map<Long, RequestRecord> requests = new HashMap<>();
    final PriorityQueue<Timer> timers =
        new PriorityQueue<>(Comparator.comparingLong(Timer::dueAtMicros));
    final List<Action> trace = new ArrayList<>();
    final Map<Long, List<Long>> slowStartSends = new HashMap<>();
    long now = 50 * RecordingHost.SECOND;
    final int fleet;
    long nextId = 1;

    Simulation(long seed) {
      this(seed, 0, 2);
    }

    /**
     * Creates the router of one gateway and its fleet.
     *
     * @param fleetSize number of servers; 0 for a random number from four to nine
     * @param gateways number of gateways that share the fleet, including this one
     */
    Simulation(long seed, int fleetSize, int gateways) {
      random = new Random(seed);
      settings = RecordingHost.settings(2 + random.nextInt(4), random.nextBoolean(), gateways);
      fleet = fleetSize > 0 ? fleetSize : 4 + random.nextInt(6);
      control = new Control(settings, seed, host);
      control.started(now);
      List<ServerEntry> initialServers = new ArrayList<>();
      for (int i = 0; i < fleet; i++) {
        initialServers.add(RecordingHost.readyServer(100 + i, i % 3, random.nextInt(4)));
      }
      changeEndpoints(EndpointListKind.CACHED, initialServers);
    }

    void changeEndpoints(EndpointListKind kind, List<ServerEntry> entries) {
      entries.forEach(server -> servers.put(server.id(), server));
      control.endpointsChanged(now, kind, entries);
      checkNewActions();
    }

    void run() {
      for (int i = 0; i < STEPS; i++) {
        step();
      }
      now += 1000;
      while (!requests.isEmpty()
          && requests.values().stream()
              .anyMatch(request -> !request.ended || !request.hasNoAttemptInFlight())) {
        now += 5000;
        fireDueTimers();
        requests.values().stream()
            .filter(request -> !request.hasNoAttemptInFlight())
            .sorted(Comparator.comparingLong(RequestRecord::id))
            .toList()
            .forEach(this::advanceOneAttempt);
      }
      requests
          .values()
          .forEach(
              request ->
                  assertTrue(
                      request.ended && !request.stateHeld,
                      "request left unanswered or with a held state"));
      assertTrue(
          requests.values().stream().allMatch(RequestRecord::hasNoAttemptInFlight),
          "request left with an attempt in flight");
    }

    void step() {
      now += random.nextInt(20_000);
      fireDueTimers();
      int event = random.nextInt(100);
      if (event < 40) {
        submitRequest();
      } else if (event < 90) {
        anyWithAttemptInFlight().ifPresent(this::advanceOneAttempt);
      } else if (event < 93) {
        anyWithAttemptInFlight().ifPresent(this::disconnectClient);
      } else {
        changeOneServer();
      }
    }

    Optional<RequestRecord> anyWithAttemptInFlight() {
      List<RequestRecord> unfinished =
          requests.values().stream()
              .filter(request -> !request.hasNoAttemptInFlight())
              .sorted(Comparator.comparingLong(RequestRecord::id))
              .toList();
      return unfinished.isEmpty()
          ? Optional.empty()
          : Optional.of(unfinished.get(random.nextInt(unfinished.size())));
    }

    void submitRequest() {
      RoutingRequest attributes =
          RecordingHost.newRequest(
              nextId++,
              random.nextInt(3),
              1 + random.nextInt(20),
              random.nextInt(5),
              200 + random.nextInt(4000));
      requests.put(
          attributes.id(), new RequestRecord(attributes, now + attributes.clientTimeoutMicros()));
      control.requestArrived(now, attributes);
      checkNewActions();
    }

    void disconnectClient(RequestRecord request) {
      if (!request.ended && !request.isStreaming()) {
        request.ended = true;
        control.clientDisconnected(now, request.id());
        checkNewActions();
      }
    }

    void fireDueTimers() {
      while (!timers.isEmpty() && timers.peek().dueAtMicros() <= now) {
        control.timerFired(now, timers.poll().token());
        checkNewActions();
      }
      requests
          .values()
          .forEach(
              request ->
                  assertTrue(
                      request.ended || request.isStreaming() || now <= latestAnswerAt(request),
                      "request unanswered after its deadline"));
    }

    long latestAnswerAt(RequestRecord request) {
      return request.deadlineMicros + settings.rules().answerSlackMicros() + 20_000;
    }

    void advanceOneAttempt(RequestRecord request) {
      for (int i = 0; i < request.attempts.size(); i++) {
        AttemptRecord attempt = request.attempts.get(i);
        if (attempt.outcome.isEmpty()) {
          advance(request, i, attempt);
          return;
        }
      }
    }

    void advance(RequestRecord request, int number, AttemptRecord attempt) {
      if (attempt.streaming) {
        end(
            request,
            number,
            attempt,
            random.nextInt(10) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK,
            true);
        return;
      }
      int draw = random.nextInt(20);
      if (draw < 13 && !attempt.writes) {
        request.stateHeld = true;
        end(request, number, attempt, AttemptOutcome.PROMPT_READ, request.ended);
      } else if (draw < 13 && !request.ended) {
        attempt.streaming = true;
        request.stateHeld = false;
        control.firstToken(now, request.id(), number, attempt.server, 10_000);
        checkNewActions();
      } else {
        AttemptOutcome[] failures = {
          AttemptOutcome.ERROR,
          AttemptOutcome.REJECTED,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED
        };
        end(request, number, attempt, failures[random.nextInt(failures.length)], request.ended);
      }
    }

    void end(
        RequestRecord request,
        int number,
        AttemptRecord attempt,
        AttemptOutcome outcome,
        boolean requestEnded) {
      attempt.outcome = Optional.of(outcome);
      request.ended |= requestEnded;
      control.attemptEnded(
          now,
          AttemptResult.builder()
              .requestId(request.id())
              .attempt(number)
              .serverId(attempt.server)
              .outcome(outcome)
              .elapsedMicros(20_000)
              .requestEnded(requestEnded)
              .build());
      checkNewActions();
      assertTrue(
          !request.stateHeld || !request.hasNoAttemptInFlight(),
          "a state is held although no attempt is in flight");
    }

    void changeOneServer() {
      long id = 100 + random.nextInt(Math.max(10, fleet));
      ServerEntry previous = servers.get(id);
      ServerLifecycle lifecycle = ServerLifecycle.values()[random.nextInt(3)];
      boolean restart = previous == null || random.nextInt(3) == 0;
      changeEndpoints(
          EndpointListKind.CHANGES,
          List.of(
              RecordingHost.newServer(
                  id,
                  (int) ((id - 100) % 3),
                  previous == null ? 1 : previous.cell(),
                  lifecycle,
                  restart ? now : previous.startedAtMicros())));
    }

    void checkNewActions() {
      List<Action> newActions = host.takeActions();
      trace.addAll(newActions);
      for (Action action : newActions) {
        if (action.name().equals("timer")) {
          timers.add(new Timer(now + Math.max(1, action.value()), action.id()));
        } else if (action.name().equals("send")) {
          recordSend(requests.get(action.id()), action);
        } else if (action.name().equals("release")) {
          requests.get(action.id()).stateHeld = false;
        } else if (action.name().equals("reject") || action.name().equals("fail")) {
          recordAnswer(requests.get(action.id()), action.name());
        }
      }
    }

    void recordSend(RequestRecord request, Action action) {
      assertTrue(!request.ended, "attempt sent after the final answer");
      assertTrue(
          request.attempts.size() < settings.limits().maxAttempts(),
          "more attempts than the maximum");
      assertTrue(request.hasNoAttemptInFlight(), "two attempts in flight at once");
      ServerEntry server = servers.get(action.server());
      assertEquals(
          ServerLifecycle.READY, server.lifecycle(), "attempt sent to a server that is not ready");
      assertTrue(maySend(request, server), "attempt may cause a second effect");
      request.attempts.add(new AttemptRecord(server.id(), server.kind() != RecordingHost.READER));
      checkSlowStart(server);
    }

    boolean mayHaveRun(AttemptRecord attempt) {
      return attempt.writes && !attempt.outcome.map(WITHOUT_EFFECT::contains).orElse(false);
    }

    boolean maySend(RequestRecord request, ServerEntry server) {
      Idempotency idempotency = settings.classes().get(request.request.classId()).idempotency();
      return idempotency == Idempotency.IDEMPOTENT
          || request.attempts.stream()
              .filter(this::mayHaveRun)
              .allMatch(
                  attempt ->
                      idempotency == Idempotency.IDEMPOTENCY_KEY
                          && servers.get(attempt.server).cell() == server.cell());
    }

    void recordAnswer(RequestRecord request, String answer) {
      assertTrue(!request.ended, "request answered twice");
      request.ended = true;
      Idempotency idempotency = settings.classes().get(request.request.classId()).idempotency();
      assertTrue(
          answer.equals("fail")
              || idempotency == Idempotency.IDEMPOTENT
              || request.attempts.stream().noneMatch(this::mayHaveRun),
          "request rejected although it may have run");
    }

    /** At 50 requests per second, a server in slow start must never get an even share of them. */
    void checkSlowStart(ServerEntry server) {
      if (server.startedAtMicros() > 0
          && now - server.startedAtMicros() < settings.rules().slowStartMicros()) {
        List<Long> sends = slowStartSends.computeIfAbsent(server.id(), id -> new ArrayList<>());
        sends.add(now);
        long window = settings.rules().overloadWindowMicros();
        sends.removeIf(sentAt -> now - sentAt > window);
        assertTrue(
            sends.size() < 100,
            "a server in slow start got "
                + sends.size()
                + " attempts in a window, expected fewer than 100");
      }
    }
  }

  @Test
  void rulesHoldForRandomEvents() {
    int submitted = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Simulation simulation = new Simulation(seed);
      simulation.run();
      submitted += simulation.requests.size();
    }
    assertTrue(submitted > RUNS * 300, "too few requests were submitted");
  }

  /**
   * One of two hundred gateways, with eighty servers that start and stop: the same rules hold, and
   * the gateway keeps to its share of what a server in slow start can take.
   */
  @Test
  void rulesHoldInLargeFleetWithManyGateways() {
    for (int seed = 0; seed < LARGE_RUNS; seed++) {
      Simulation simulation = new Simulation(1000 + seed, LARGE_FLEET, MANY_GATEWAYS);
      simulation.run();
      assertTrue(simulation.requests.size() > 300, "too few requests were submitted");
    }
  }

  @Test
  void equalSeedsAndEventsLeadToEqualActions() {
    Simulation first = new Simulation(42);
    Simulation second = new Simulation(42);
    first.run();
    second.run();
    assertEquals(first.trace, second.trace);
    assertTrue(first.trace.size() > 1000);
  }
}
