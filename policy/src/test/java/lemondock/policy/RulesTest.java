package lemondock.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import lemondock.policy.Recorder.Action;
import org.junit.jupiter.api.Test;

/** Random but legal events, rare orders among them, against the five rules. */
class RulesTest {
  private static final int RUNS = 60;
  private static final int STEPS = 1500;
  private static final int LARGE_RUNS = 6;
  private static final int LARGE_FLEET = 80;
  private static final int MANY_GATEWAYS = 200;

  /** One attempt as the world sees it. */
  private static final class Try {
    long server;
    boolean writes;
    boolean started;
    AttemptOutcome ended;
  }

  /** One request as the world sees it. */
  private static final class Asked {
    RoutingRequest request;
    long deadline;
    boolean over;
    boolean stateHeld;
    final List<Try> tries = new ArrayList<>();

    boolean quiet() {
      return tries.stream().allMatch(t -> t.ended != null);
    }
  }

  private final class World {
    final Random chance;
    final RouterSettings settings;
    final Recorder host = new Recorder();
    final Control control;
    final Map<Long, ServerEntry> servers = new HashMap<>();
    final Map<Long, Asked> asked = new HashMap<>();
    final PriorityQueue<long[]> timers = new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
    final List<Action> trace = new ArrayList<>();
    final Map<Long, List<Long>> coldSends = new HashMap<>();
    long now = 50 * Recorder.SECOND;
    final int fleet;
    long nextId = 1;

    World(long seed) {
      this(seed, 0, 2);
    }

    /**
     * A world with so many servers (0: four to nine) and so many gateways, of which this is one.
     */
    World(long seed, int size, int gateways) {
      chance = new Random(seed);
      settings = Recorder.settings(2 + chance.nextInt(4), chance.nextBoolean(), gateways);
      fleet = size > 0 ? size : 4 + chance.nextInt(6);
      control = new Control(settings, seed, host);
      control.started(now);
      List<ServerEntry> list = new ArrayList<>();
      for (int i = 0; i < fleet; i++) {
        list.add(Recorder.ready(100 + i, i % 3, chance.nextInt(4)));
      }
      tell(EndpointListKind.CACHED, list);
    }

    void tell(EndpointListKind kind, List<ServerEntry> list) {
      list.forEach(s -> servers.put(s.id(), s));
      control.endpointsChanged(now, kind, list);
      check();
    }

    void run() {
      for (int i = 0; i < STEPS; i++) {
        step();
      }
      List<ServerEntry> gone =
          servers.values().stream().sorted((a, b) -> Long.compare(a.id(), b.id())).toList();
      now += 1000;
      while (!asked.isEmpty() && asked.values().stream().anyMatch(a -> !a.over || !a.quiet())) {
        now += 5000;
        ripe();
        asked.values().stream()
            .filter(a -> !a.quiet())
            .sorted(this::byId)
            .toList()
            .forEach(this::finishOne);
      }
      assertNotNull(gone);
      asked.values().forEach(a -> assertTrue(a.over && !a.stateHeld, "left pinned or unanswered"));
    }

    int byId(Asked a, Asked b) {
      return Long.compare(a.request.id(), b.request.id());
    }

    void step() {
      now += chance.nextInt(20_000);
      ripe();
      int what = chance.nextInt(100);
      if (what < 40) {
        ask();
      } else if (what < 90) {
        any().ifPresent(this::finishOne);
      } else if (what < 93) {
        any().ifPresent(this::leave);
      } else {
        change();
      }
    }

    java.util.Optional<Asked> any() {
      List<Asked> open =
          asked.values().stream().filter(a -> !a.quiet()).sorted(this::byId).toList();
      return open.isEmpty()
          ? java.util.Optional.empty()
          : java.util.Optional.of(open.get(chance.nextInt(open.size())));
    }

    void ask() {
      Asked a = new Asked();
      a.request =
          Recorder.request(
              nextId++,
              chance.nextInt(3),
              1 + chance.nextInt(20),
              chance.nextInt(5),
              200 + chance.nextInt(4000));
      a.deadline = now + a.request.clientTimeoutMicros();
      asked.put(a.request.id(), a);
      control.requestArrived(now, a.request);
      check();
    }

    void leave(Asked a) {
      if (!a.over && a.tries.stream().noneMatch(t -> t.started)) {
        a.over = true;
        control.clientDisconnected(now, a.request.id());
        check();
      }
    }

    void ripe() {
      while (!timers.isEmpty() && timers.peek()[0] <= now) {
        control.timerFired(now, timers.poll()[1]);
        check();
      }
      asked
          .values()
          .forEach(
              a ->
                  assertTrue(
                      a.over
                          || a.tries.stream().anyMatch(t -> t.started)
                          || now <= a.deadline + settings.rules().answerSlackMicros() + 20_000,
                      "unanswered after its deadline"));
    }

    void finishOne(Asked a) {
      for (int i = 0; i < a.tries.size(); i++) {
        Try t = a.tries.get(i);
        if (t.ended == null) {
          finish(a, i, t);
          return;
        }
      }
    }

    void finish(Asked a, int number, Try t) {
      if (t.started) {
        end(a, number, t, chance.nextInt(10) == 0 ? AttemptOutcome.RESET : AttemptOutcome.OK, true);
        return;
      }
      int luck = chance.nextInt(20);
      if (luck < 13 && !t.writes) {
        a.stateHeld = true;
        end(a, number, t, AttemptOutcome.PROMPT_READ, a.over);
      } else if (luck < 13 && !a.over) {
        t.started = true;
        a.stateHeld = false;
        control.firstToken(now, a.request.id(), number, t.server, 10_000);
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
        end(a, number, t, bad[chance.nextInt(bad.length)], a.over);
      }
    }

    void end(Asked a, int number, Try t, AttemptOutcome ending, boolean last) {
      t.ended = ending;
      a.over |= last;
      control.attemptEnded(
          now, new AttemptResult(a.request.id(), number, t.server, ending, 20_000, last, 0, false));
      check();
      assertTrue(!a.stateHeld || !a.quiet(), "a state is held and no attempt is out");
    }

    void change() {
      long id = 100 + chance.nextInt(Math.max(10, fleet));
      ServerEntry old = servers.get(id);
      ServerLifecycle standing = ServerLifecycle.values()[chance.nextInt(3)];
      boolean restart = old == null || chance.nextInt(3) == 0;
      tell(
          EndpointListKind.CHANGES,
          List.of(
              Recorder.server(
                  id,
                  (int) ((id - 100) % 3),
                  old == null ? 1 : old.cell(),
                  standing,
                  restart ? now : old.startedAtMicros())));
    }

    void check() {
      List<Action> done = host.take();
      trace.addAll(done);
      for (Action action : done) {
        if (action.name().equals("timer")) {
          timers.add(new long[] {now + Math.max(1, action.value()), action.id()});
        } else if (action.name().equals("send")) {
          sent(asked.get(action.id()), action);
        } else if (action.name().equals("release")) {
          asked.get(action.id()).stateHeld = false;
        } else if (action.name().equals("refuse") || action.name().equals("fail")) {
          answered(asked.get(action.id()), action.name());
        }
      }
    }

    void sent(Asked a, Action action) {
      assertTrue(!a.over, "sent after the final answer");
      assertTrue(a.tries.size() < settings.limits().maxAttempts(), "too many attempts");
      assertTrue(a.quiet(), "two attempts at once");
      ServerEntry s = servers.get(action.server());
      assertEquals(ServerLifecycle.READY, s.lifecycle(), "sent to a server that is not ready");
      assertTrue(maySend(a, s), "a second effect");
      Try t = new Try();
      t.server = s.id();
      t.writes = s.kind() != Recorder.READER;
      a.tries.add(t);
      cold(s);
    }

    boolean mayHaveRun(Try t) {
      return t.writes
          && t.ended != AttemptOutcome.REJECTED
          && t.ended != AttemptOutcome.CONNECT_FAILED
          && t.ended != AttemptOutcome.PROMPT_READ;
    }

    boolean maySend(Asked a, ServerEntry s) {
      Idempotency repeat = settings.classes().get(a.request.classId()).idempotency();
      return repeat == Idempotency.IDEMPOTENT
          || a.tries.stream()
              .filter(this::mayHaveRun)
              .allMatch(
                  t ->
                      repeat == Idempotency.IDEMPOTENCY_KEY
                          && servers.get(t.server).cell() == s.cell());
    }

    void answered(Asked a, String how) {
      assertTrue(!a.over, "answered twice");
      a.over = true;
      Idempotency repeat = settings.classes().get(a.request.classId()).idempotency();
      assertTrue(
          how.equals("fail")
              || repeat == Idempotency.IDEMPOTENT
              || a.tries.stream().noneMatch(this::mayHaveRun),
          "refused though it may have run");
    }

    /** At 50 requests a second over all, a cold server never gets an even share of them all. */
    void cold(ServerEntry s) {
      if (s.startedAtMicros() > 0
          && now - s.startedAtMicros() < settings.rules().slowStartMicros()) {
        List<Long> sends = coldSends.computeIfAbsent(s.id(), x -> new ArrayList<>());
        sends.add(now);
        long window = settings.rules().overloadWindowMicros();
        sends.removeIf(at -> now - at > window);
        assertTrue(sends.size() < 100, "cold server got " + sends.size() + " in a window");
      }
    }
  }

  @Test
  void theRulesHoldWhateverHappens() {
    int answered = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      World world = new World(seed);
      world.run();
      answered += world.asked.size();
    }
    assertTrue(answered > RUNS * 300, "the test asks enough");
  }

  /**
   * A gateway of two hundred, with eighty servers that come and go: the same rules, and its part of
   * a cold one.
   */
  @Test
  void theRulesHoldInALargeFleetWithManyGateways() {
    for (int seed = 0; seed < LARGE_RUNS; seed++) {
      World world = new World(1000 + seed, LARGE_FLEET, MANY_GATEWAYS);
      world.run();
      assertTrue(world.asked.size() > 300, "the test asks enough");
    }
  }

  @Test
  void equalEventsGiveEqualActions() {
    World one = new World(42);
    World two = new World(42);
    one.run();
    two.run();
    assertEquals(one.trace, two.trace);
    assertTrue(one.trace.size() > 1000);
  }
}
