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

/** Random but legal events, rare orders among them, checked against the five rules. */
class RulesTest {
  private static final int RUNS = 60;
  private static final int STEPS = 1500;
  private static final int LARGE_RUNS = 6;
  private static final int LARGE_FLEET = 80;
  private static final int MANY_GATEWAYS = 200;

  /** Outcomes of a write that prove that it had no effect. */
  private static final Set<AttemptOutcome> HARMLESS =
      EnumSet.of(
          AttemptOutcome.REJECTED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.PROMPT_READ);

  /** One attempt as the servers see it. */
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

  /** One request as its client and the servers see it. */
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

    /** A fleet of so many servers (0: four to nine) and so many gateways, of which this is one. */
    Simulation(long seed, int size, int gateways) {
      random = new Random(seed);
      settings = RecordingHost.settings(2 + random.nextInt(4), random.nextBoolean(), gateways);
      fleet = size > 0 ? size : 4 + random.nextInt(6);
      control = new Control(settings, seed, host);
      control.started(now);
      List<ServerEntry> list = new ArrayList<>();
      for (int i = 0; i < fleet; i++) {
        list.add(RecordingHost.readyServer(100 + i, i % 3, random.nextInt(4)));
      }
      changeEndpoints(EndpointListKind.CACHED, list);
    }

    void changeEndpoints(EndpointListKind kind, List<ServerEntry> list) {
      list.forEach(server -> servers.put(server.id(), server));
      control.endpointsChanged(now, kind, list);
      check();
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
            .forEach(this::finishOne);
      }
      requests
          .values()
          .forEach(
              request ->
                  assertTrue(
                      request.ended && !request.stateHeld, "left with a held state or unanswered"));
      assertTrue(
          requests.values().stream().allMatch(RequestRecord::hasNoAttemptInFlight),
          "left with an attempt in flight");
    }

    void step() {
      now += random.nextInt(20_000);
      fireDueTimers();
      int event = random.nextInt(100);
      if (event < 40) {
        submitRequest();
      } else if (event < 90) {
        anyWithAttemptInFlight().ifPresent(this::finishOne);
      } else if (event < 93) {
        anyWithAttemptInFlight().ifPresent(this::leave);
      } else {
        changeOneServer();
      }
    }

    Optional<RequestRecord> anyWithAttemptInFlight() {
      List<RequestRecord> open =
          requests.values().stream()
              .filter(request -> !request.hasNoAttemptInFlight())
              .sorted(Comparator.comparingLong(RequestRecord::id))
              .toList();
      return open.isEmpty() ? Optional.empty() : Optional.of(open.get(random.nextInt(open.size())));
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
      check();
    }

    void leave(RequestRecord request) {
      if (!request.ended && !request.isStreaming()) {
        request.ended = true;
        control.clientDisconnected(now, request.id());
        check();
      }
    }

    void fireDueTimers() {
      while (!timers.isEmpty() && timers.peek().dueAtMicros() <= now) {
        control.timerFired(now, timers.poll().token());
        check();
      }
      requests
          .values()
          .forEach(
              request ->
                  assertTrue(
                      request.ended || request.isStreaming() || now <= latestAnswerAt(request),
                      "unanswered after its deadline"));
    }

    long latestAnswerAt(RequestRecord request) {
      return request.deadlineMicros + settings.rules().answerSlackMicros() + 20_000;
    }

    void finishOne(RequestRecord request) {
      for (int i = 0; i < request.attempts.size(); i++) {
        AttemptRecord attempt = request.attempts.get(i);
        if (attempt.outcome.isEmpty()) {
          finish(request, i, attempt);
          return;
        }
      }
    }

    void finish(RequestRecord request, int number, AttemptRecord attempt) {
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
        check();
      } else {
        AttemptOutcome[] bad = {
          AttemptOutcome.ERROR,
          AttemptOutcome.REJECTED,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED
        };
        end(request, number, attempt, bad[random.nextInt(bad.length)], request.ended);
      }
    }

    void end(
        RequestRecord request,
        int number,
        AttemptRecord attempt,
        AttemptOutcome outcome,
        boolean last) {
      attempt.outcome = Optional.of(outcome);
      request.ended |= last;
      control.attemptEnded(
          now,
          AttemptResult.builder()
              .requestId(request.id())
              .attempt(number)
              .serverId(attempt.server)
              .outcome(outcome)
              .elapsedMicros(20_000)
              .requestEnded(last)
              .build());
      check();
      assertTrue(
          !request.stateHeld || !request.hasNoAttemptInFlight(),
          "a state is held and no attempt is out");
    }

    void changeOneServer() {
      long id = 100 + random.nextInt(Math.max(10, fleet));
      ServerEntry old = servers.get(id);
      ServerLifecycle lifecycle = ServerLifecycle.values()[random.nextInt(3)];
      boolean restart = old == null || random.nextInt(3) == 0;
      changeEndpoints(
          EndpointListKind.CHANGES,
          List.of(
              RecordingHost.newServer(
                  id,
                  (int) ((id - 100) % 3),
                  old == null ? 1 : old.cell(),
                  lifecycle,
                  restart ? now : old.startedAtMicros())));
    }

    void check() {
      List<Action> done = host.takeActions();
      trace.addAll(done);
      for (Action action : done) {
        if (action.name().equals("timer")) {
          timers.add(new Timer(now + Math.max(1, action.value()), action.id()));
        } else if (action.name().equals("send")) {
          sent(requests.get(action.id()), action);
        } else if (action.name().equals("release")) {
          requests.get(action.id()).stateHeld = false;
        } else if (action.name().equals("reject") || action.name().equals("fail")) {
          answered(requests.get(action.id()), action.name());
        }
      }
    }

    void sent(RequestRecord request, Action action) {
      assertTrue(!request.ended, "sent after the final answer");
      assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
      assertTrue(request.hasNoAttemptInFlight(), "two attempts at once");
      ServerEntry server = servers.get(action.server());
      assertEquals(ServerLifecycle.READY, server.lifecycle(), "sent to a server that is not ready");
      assertTrue(maySend(request, server), "a second effect");
      request.attempts.add(new AttemptRecord(server.id(), server.kind() != RecordingHost.READER));
      checkSlowStart(server);
    }

    boolean mayHaveRun(AttemptRecord attempt) {
      return attempt.writes && !attempt.outcome.map(HARMLESS::contains).orElse(false);
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

    void answered(RequestRecord request, String answer) {
      assertTrue(!request.ended, "answered twice");
      request.ended = true;
      Idempotency idempotency = settings.classes().get(request.request.classId()).idempotency();
      assertTrue(
          answer.equals("fail")
              || idempotency == Idempotency.IDEMPOTENT
              || request.attempts.stream().noneMatch(this::mayHaveRun),
          "rejected though it may have run");
    }

    /** At 50 requests a second, a server in slow start never gets an even share of them. */
    void checkSlowStart(ServerEntry server) {
      if (server.startedAtMicros() > 0
          && now - server.startedAtMicros() < settings.rules().slowStartMicros()) {
        List<Long> sends = slowStartSends.computeIfAbsent(server.id(), id -> new ArrayList<>());
        sends.add(now);
        long window = settings.rules().overloadWindowMicros();
        sends.removeIf(at -> now - at > window);
        assertTrue(
            sends.size() < 100, "a server in slow start got " + sends.size() + " in a window");
      }
    }
  }

  @Test
  void theRulesHoldWhateverHappens() {
    int answered = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Simulation simulation = new Simulation(seed);
      simulation.run();
      answered += simulation.requests.size();
    }
    assertTrue(answered > RUNS * 300, "the test asks enough");
  }

  /**
   * A gateway of two hundred, with eighty servers that come and go: the same rules, and its part of
   * what a server in slow start bears.
   */
  @Test
  void theRulesHoldInALargeFleetWithManyGateways() {
    for (int seed = 0; seed < LARGE_RUNS; seed++) {
      Simulation simulation = new Simulation(1000 + seed, LARGE_FLEET, MANY_GATEWAYS);
      simulation.run();
      assertTrue(simulation.requests.size() > 300, "the test asks enough");
    }
  }

  @Test
  void equalEventsGiveEqualActions() {
    Simulation one = new Simulation(42);
    Simulation two = new Simulation(42);
    one.run();
    two.run();
    assertEquals(one.trace, two.trace);
    assertTrue(one.trace.size() > 1000);
  }
}
