package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;

/**
 * Plays a scripted day on real sockets: a fleet of gateways and stand-in engines in zones, clients
 * with conversations, tool calls, retries and little patience, and troubles at their times. Traffic
 * is drawn from the seed; how threads and sockets interleave is not, so two runs of one seed differ
 * in detail.
 */
public final class FaultScenario {
  private static final long MICROS = 1_000;
  private static final long NOTICE = 250_000;
  private static final long RETRY_MICROS = 80_000;
  private static final int MOST_TRIES = 3;

  /**
   * A call that may run once is asked for again at the same gateway, which may have to come back
   * first.
   */
  private static final long ONCE_RETRY_MICROS = 700_000;

  private static final int CLIENTS_A_GATEWAY = 8;
  private static final int OPENINGS = 6;
  private static final int STEPS = 6;

  /** Names that a collector's protocol would take for something else, unless they are escaped. */
  private static final List<String> TENANTS =
      List.of("omaruru.tills", "swakop market", "mondesa/traders", "henties");

  private static final double COLD_RETURN_MS = 400;
  private static final double MOST_OCCUPIED = 0.9;
  private static final double SETTLE_SECONDS = 4.5;

  private final ScenarioScript script;
  private final RouterFactory maker;
  private final SplittableRandom random;
  private final List<CallRecord> calls = Collections.synchronizedList(new ArrayList<>());
  private final List<Talk> talks = new ArrayList<>();
  private final Map<String, List<McpClient>> clients = new HashMap<>();
  private final List<String> openings = new ArrayList<>();
  private ScenarioFleet fleet;
  private Path folder;
  private UnaryOperator<FileSystemPort> files = f -> f;
  private EmulatedProcess clientNode;
  private int open;
  private int marks;
  private double impatience;
  private String hotOpening;
  private ReportComparison reports;
  private SnapshotListener looks = (gateway, at, snapshot) -> {};

  /** A conversation that may go on. */
  private static final class Talk {
    private final String name;
    private final int classId;
    private final ArrayNode messages;
    private int turnsLeft;
    private boolean busy;

    Talk(String name, int classId, ArrayNode messages, int turnsLeft) {
      this.name = name;
      this.classId = classId;
      this.messages = messages;
      this.turnsLeft = turnsLeft;
    }
  }

  /** Has the day's gateways report, and what arrives compared with their final tallies. */
  public FaultScenario reporting(ReportComparison check) {
    reports = check;
    return this;
  }

  /** Hears of each look that the gateways' reports take. */
  public FaultScenario onSnapshot(SnapshotListener hears) {
    looks = hears;
    return this;
  }

  /** Puts something before the folders in which the gateways remember calls. */
  public FaultScenario files(UnaryOperator<FileSystemPort> before) {
    files = before;
    return this;
  }

  /** Makes a day; the gateways decide by what {@code maker} makes. */
  public FaultScenario(ScenarioScript script, RouterFactory maker) {
    this.script = script;
    this.maker = maker;
    this.random = new SplittableRandom(script.seed() * 31 + 7);
  }

  /** Makes a day with the project's module. */
  public FaultScenario(ScenarioScript script) {
    this(script, Gateway.DEFAULT_ROUTER_FACTORY);
  }

  /** Plays the day and judges it. */
  public ScenarioResult play() throws InterruptedException {
    try {
      return playIn(Files.createTempDirectory("lemondock-day"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private ScenarioResult playIn(Path own) throws InterruptedException, IOException {
    folder = own;
    long begun = System.nanoTime();
    GatewaySettings model = ScenarioSettings.model();
    for (int i = 0; i < OPENINGS; i++) {
      openings.add(words("opening" + i, 100 + random.nextInt(500)));
    }
    try (ScenarioFleet made = new ScenarioFleet(model.classes(), script.seed());
        EmulatedProcess node = new EmulatedProcess("clients", 2)) {
      fleet = made;
      fleet.onSnapshot(looks);
      fleet.files(files);
      clientNode = node;
      build();
      run();
      long end = node.loop().now();
      if (reports != null) {
        reports.compare(fleet);
      }
      ScenarioAuditor auditor =
          new ScenarioAuditor(
              model,
              fleet.engineSettings(),
              fleet.events(),
              List.copyOf(calls),
              fleet.killed(),
              fleet.stood(),
              end);
      int sent =
          (int)
              fleet.events().stream()
                  .filter(
                      e ->
                          e.kind() == TrafficEvent.Kind.PREFILL
                              || e.kind() == TrafficEvent.Kind.DECODE)
                  .count();
      return new ScenarioResult(
          script,
          auditor.check(),
          auditor.service(),
          auditor.endings(),
          calls.size(),
          sent,
          (System.nanoTime() - begun) / 1e9,
          List.copyOf(calls));
    } finally {
      try (Stream<Path> all = Files.walk(own)) {
        for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(path);
        }
      }
    }
  }

  private void build() {
    for (String zone : script.zones()) {
      add(zone, "reader", script.readersPerZone(), script.slots() / 2);
      add(zone, "writer", script.writersPerZone(), script.slots() * 2);
      add(zone, "mixed", script.mixedPerZone(), script.slots());
    }
    int of = script.gatewaysPerZone() * script.zones().size();
    HttpClient http =
        new HttpClient(
            clientNode.loop(),
            clientNode.network(),
            new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 5_000, 500_000, 15_000_000));
    int number = 0;
    for (String zone : script.zones()) {
      for (int i = 0; i < script.gatewaysPerZone(); i++) {
        int port = fleet.reservePort();
        String name = "gw-" + zone + "-" + i;
        fleet.addGateway(
            ScenarioSettings.gateway(
                name,
                number++,
                of,
                zone,
                port,
                fleet.catalogueAddress(),
                root -> {
                  root.putObject("durable").put("path", folder.resolve(name).toString());
                  root.putObject("reporting").put("tickMs", 250).put("intervalMs", 1000);
                  if (reports != null) {
                    reports.settings((ObjectNode) root.get("reporting"));
                  }
                }),
            maker);
        List<McpClient> some = new ArrayList<>();
        for (int c = 0; c < CLIENTS_A_GATEWAY; c++) {
          some.add(
              new McpClient(
                  clientNode.loop(), http, new InetSocketAddress("127.0.0.1", port), name));
        }
        clients.put(name, some);
      }
    }
    for (String gateway : fleet.gateways()) {
      if (!fleet.awaitServers(gateway, fleet.engines().size(), 10_000)) {
        throw new IllegalStateException(gateway + " does not see its servers");
      }
    }
  }

  private void add(String zone, String role, int count, int slots) {
    for (int i = 0; i < count; i++) {
      fleet.addEngine(
          EngineSettings.quick(zone + "-" + role + "-" + i, role, zone, "rack-" + i % 2)
              .withLatencies(4, 4, script.tokenMs())
              .withLimits(Math.max(1, slots), 16, 100_000)
              .withWarmUp(0.3, 3000));
    }
  }

  // ==== the clock of the day

  private record Act(double atMs, Runnable act) {}

  private void run() throws InterruptedException {
    List<Act> acts = new ArrayList<>();
    for (ScriptedFault t : script.faults()) {
      trouble(t, acts);
    }
    double at = 0;
    while (at < script.seconds() * 1000) {
      at += -Math.log(1 - random.nextDouble()) * 1000 / script.rate();
      acts.add(new Act(at, () -> clientNode.loop().execute(this::arrive)));
    }
    acts.sort(Comparator.comparingDouble(Act::atMs));
    long start = System.nanoTime();
    for (Act act : acts) {
      long wait = start + (long) (act.atMs() * 1e6) - System.nanoTime();
      if (wait > 0) {
        TimeUnit.NANOSECONDS.sleep(wait);
      }
      act.act().run();
    }
    long until = System.nanoTime() + (long) (SETTLE_SECONDS * 1e9);
    while (clientNode.invokeAndWait(() -> open) > 0 && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    TimeUnit.MILLISECONDS.sleep(
        700); // longer than any state may be held: what is held then was forgotten
  }

  // ==== traffic

  private void arrive() {
    List<String> up = fleet.gateways();
    final String gateway = up.get(random.nextInt(up.size()));
    Talk talk =
        talks.stream()
            .filter(t -> !t.busy && t.turnsLeft > 0)
            .skip(random.nextInt(4))
            .findFirst()
            .orElse(null);
    if (talk == null || random.nextInt(3) == 0) {
      talk = newTalk();
      talks.add(talk);
    }
    talks.removeIf(t -> t.turnsLeft <= 0);
    talk.turnsLeft--;
    talk.busy = true;
    String mark = "c" + script.seed() + "-" + ++marks;
    String text = "#" + mark + "# " + words(mark, 20 + random.nextInt(60));
    List<String> tools = List.of();
    ToolBehaviour behaviour = ToolBehaviour.ANSWER;
    if (talk.classId == 1 && random.nextDouble() < script.toolShare() * 3) {
      tools = List.of("stock", "price");
      text +=
          random.nextInt(3) == 0
              ? " call the tools stock and price together"
              : " call the tool stock and then call the tool price";
      behaviour = ToolBehaviour.values()[random.nextInt(10) < 7 ? 0 : random.nextInt(4)];
    }
    text += " answer in " + (8 + random.nextInt(30)) + " words";
    talk.messages.addObject().put("role", "user").put("content", text);
    ask(talk, gateway, mark, tools, behaviour, 1);
  }

  private Talk newTalk() {
    int roll = random.nextInt(100);
    int classId = roll < 60 ? 0 : roll < 80 ? 1 : roll < 90 ? 2 : 3;
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    String opening =
        hotOpening != null && random.nextInt(3) == 0
            ? hotOpening
            : openings.get(Math.min(random.nextInt(OPENINGS), random.nextInt(OPENINGS)));
    messages.addObject().put("role", "system").put("content", opening);
    return new Talk(
        "talk-" + script.seed() + "-" + marks, classId, messages, 1 + random.nextInt(4));
  }

  private void ask(
      Talk talk,
      String gateway,
      String mark,
      List<String> tools,
      ToolBehaviour behaviour,
      int number) {
    open++;
    McpClient client = clients.get(gateway).get(random.nextInt(CLIENTS_A_GATEWAY));
    String tryMark = number == 1 ? mark : mark + "-try" + number;
    ArrayNode messages = talk.messages.deepCopy();
    ObjectNode last = (ObjectNode) messages.get(messages.size() - 1);
    last.put(
        "content", last.get("content").asText().replace("#" + mark + "#", "#" + tryMark + "#"));
    ToolCallRequest ask =
        new ToolCallRequest(
                model().classes().get(talk.classId).name(),
                talk.classId,
                messages,
                talk.name,
                tools,
                behaviour,
                20_000,
                200,
                tryMark,
                number > 1)
            .withTenant(TENANTS.get(talk.name.hashCode() & 3))
            .withIdempotencyKey(mark);
    boolean[] over = {false};
    client.open(
        ok -> {
          if (!ok
              && number > 1
              && number < MOST_TRIES
              && !model().classes().get(talk.classId).isIdempotent()) {
            again(talk, gateway, mark, tools, behaviour, number);
            return;
          }
          if (!ok) {
            elsewhere(talk, gateway, mark, tools, behaviour, number);
            return;
          }
          McpClient.Call call =
              client.call(
                  ask,
                  done -> {
                    over[0] = true;
                    ended(talk, gateway, mark, tools, behaviour, number, done.seen());
                  });
          calls.add(call.seen());
          if (random.nextDouble() < script.abandonShare() + impatience) {
            clientNode
                .loop()
                .schedule(
                    (long) (random.nextDouble() * 700 * MICROS),
                    () -> {
                      if (!over[0]) {
                        over[0] = true;
                        call.leave();
                        rest(talk);
                      }
                    });
          }
        });
  }

  private GatewaySettings model() {
    return fleet.gatewaySettings(fleet.gateways().get(0));
  }

  private void ended(
      Talk talk,
      String gateway,
      String mark,
      List<String> tools,
      ToolBehaviour behaviour,
      int number,
      CallRecord seen) {
    boolean safe = model().classes().get(talk.classId).isIdempotent();
    if (!safe && number > 1 && number < MOST_TRIES && (seen.notAccepted || seen.retryable)) {
      again(talk, gateway, mark, tools, behaviour, number); // an earlier try may have run there
      return;
    }
    if (seen.served()) {
      talk.messages.addObject().put("role", "assistant").put("content", seen.finalText);
      rest(talk);
    } else if (seen.notAccepted || seen.retryable || safe && seen.connectionLostAtMicros != 0) {
      elsewhere(talk, gateway, mark, tools, behaviour, number);
    } else if (seen.connectionLostAtMicros != 0 && number < MOST_TRIES) {
      again(
          talk, gateway, mark, tools, behaviour,
          number); // only this gateway knows what became of it
    } else {
      rest(talk);
    }
  }

  private void again(
      Talk talk,
      String gateway,
      String mark,
      List<String> tools,
      ToolBehaviour behaviour,
      int number) {
    askAfter(ONCE_RETRY_MICROS, talk, gateway, mark, tools, behaviour, number + 1);
  }

  private void askAfter(
      long micros,
      Talk talk,
      String gateway,
      String mark,
      List<String> tools,
      ToolBehaviour behaviour,
      int number) {
    clientNode
        .loop()
        .schedule(
            micros,
            () -> {
              open--;
              ask(talk, gateway, mark, tools, behaviour, number);
            });
  }

  private void elsewhere(
      Talk talk,
      String gateway,
      String mark,
      List<String> tools,
      ToolBehaviour behaviour,
      int number) {
    if (number >= MOST_TRIES) {
      rest(talk);
      return;
    }
    List<String> all = fleet.gateways();
    String next =
        all.get(
            (all.indexOf(gateway) + 1 + random.nextInt(Math.max(1, all.size() - 1))) % all.size());
    askAfter(RETRY_MICROS, talk, next, mark, tools, behaviour, number + 1);
  }

  private void rest(Talk talk) {
    open--;
    talk.busy = false;
    talk.turnsLeft =
        talk.messages.get(talk.messages.size() - 1).path("role").asText().equals("user")
            ? 0
            : talk.turnsLeft; // a conversation whose last turn got no answer is over
  }

  private static String words(String from, int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(i == 0 ? "" : " ")
          .append("word")
          .append(Math.floorMod(from.hashCode() * 31 + i * 17, 997));
    }
    return text.toString();
  }

  // ==== troubles

  private List<String> hit(double part, String role) {
    List<String> names =
        new ArrayList<>(
            fleet.engines().stream().filter(n -> role == null || n.contains(role)).toList());
    List<String> some = new ArrayList<>();
    int count = Math.max(1, (int) Math.round(part * names.size()));
    while (some.size() < count) {
      some.add(names.remove(random.nextInt(names.size())));
    }
    return some;
  }

  private void onStandins(Runnable task) {
    fleet.emulators().loop().execute(task);
  }

  private void during(ScriptedFault t, List<Act> acts, Runnable begin, Runnable stop) {
    acts.add(new Act(t.atMs(), begin));
    acts.add(new Act(t.atMs() + t.forMs(), stop));
  }

  private void fault(
      ScriptedFault t,
      List<Act> acts,
      List<String> names,
      java.util.function.Consumer<lemondock.emulator.EngineFaults> set,
      java.util.function.Consumer<lemondock.emulator.EngineFaults> clear) {
    during(
        t,
        acts,
        () -> onStandins(() -> names.forEach(n -> set.accept(fleet.engine(n).faults()))),
        () -> onStandins(() -> names.forEach(n -> clear.accept(fleet.engine(n).faults()))));
  }

  private void trouble(ScriptedFault t, List<Act> acts) {
    switch (t.kind()) {
      case FAST_ERRORS ->
          fault(t, acts, hit(t.part(), null), f -> f.errors = t.size(), f -> f.errors = 0);
      case SLOW -> fault(t, acts, hit(t.part(), null), f -> f.slow = t.size(), f -> f.slow = 1);
      case SHARED_SLOW ->
          fault(t, acts, fleet.engines(), f -> f.slow = t.size() / 2 + 1, f -> f.slow = 1);
      case ANSWER_LOST ->
          fault(
              t, acts, hit(t.part(), null), f -> f.lostAnswers = t.size(), f -> f.lostAnswers = 0);
      case SILENT ->
          fault(t, acts, hit(t.part(), null), f -> f.silent = true, f -> f.silent = false);
      case STATES_LOST ->
          fault(
              t,
              acts,
              hit(t.part(), "reader"),
              f -> f.dropStates = true,
              f -> f.dropStates = false);
      case STREAM_BREAK ->
          fault(t, acts, hit(t.part(), "writer"), f -> f.breakAfter = 3, f -> f.breakAfter = -1);
      case FORGET ->
          acts.add(
              new Act(
                  t.atMs(),
                  () ->
                      onStandins(
                          () -> hit(t.part(), null).forEach(n -> fleet.engine(n).forget()))));
      case GIVE_UP -> during(t, acts, () -> impatience = t.size() / 2, () -> impatience = 0);
      case HOT_OPENING ->
          during(t, acts, () -> hotOpening = words("hot", 900), () -> hotOpening = null);
      case LIST_FAILS ->
          during(
              t,
              acts,
              () -> onStandins(() -> fleet.catalogue().failing(true)),
              () -> onStandins(() -> fleet.catalogue().failing(false)));
      case LIST_EMPTY ->
          during(
              t,
              acts,
              () -> onStandins(() -> fleet.catalogue().empty(true)),
              () -> onStandins(() -> fleet.catalogue().empty(false)));
      case CRASH -> crash(hit(t.part(), null), t.atMs(), t.forMs(), acts);
      case AGEING -> ageing(t, acts);
      case NEIGHBOUR -> neighbour(t, acts);
      case DEPLOY -> deploy(t, acts);
      case ZONE_LOSS -> zoneLoss(t, acts);
      case GATEWAY_KILL -> killGateway(anyGateway(), t.atMs(), Math.min(t.forMs(), 1200), acts);
      case GATEWAY_FREEZE -> freeze(anyGateway(), t.atMs(), t.forMs(), acts);
      case GATEWAY_BUSY -> {
        String name = anyGateway();
        acts.add(
            new Act(
                t.atMs(),
                () ->
                    fleet.occupy(
                        name, Math.min(MOST_OCCUPIED, t.size()), (long) (t.forMs() * MICROS))));
      }
      case GATEWAYS_ROLL -> {
        double at = t.atMs();
        for (String gateway : fleet.gateways()) {
          killGateway(gateway, at, 400, acts);
          at += 700;
        }
      }
      default -> throw new IllegalArgumentException("unknown fault " + t.kind());
    }
  }

  private final Map<String, Double> downUntil = new HashMap<>();

  /** Servers and gateways that another trouble has down at that time are left to it. */
  private boolean reserve(String name, double from, double until) {
    if (downUntil.getOrDefault(name, -1.0) >= from) {
      return false;
    }
    downUntil.put(name, until + 50);
    return true;
  }

  private void crash(List<String> names, double at, double length, List<Act> acts) {
    for (String name : names) {
      if (reserve(name, at, at + length)) {
        acts.add(
            new Act(at, () -> fleet.crash(name, Math.min(NOTICE, (long) (length * MICROS / 2)))));
        acts.add(new Act(at + length, () -> fleet.restart(name)));
      }
    }
  }

  /** Servers that grow slower step by step, die at the end and come back cold. */
  private void ageing(ScriptedFault t, List<Act> acts) {
    List<String> names = hit(t.part(), null);
    for (int step = 1; step <= STEPS; step++) {
      double slower = 1 + (t.size() - 1) * step / STEPS;
      acts.add(
          new Act(
              t.atMs() + t.forMs() * (step - 1) / STEPS,
              () -> onStandins(() -> names.forEach(n -> fleet.engine(n).faults().slow = slower))));
    }
    crash(names, t.atMs() + t.forMs(), COLD_RETURN_MS, acts);
  }

  /** Another program that takes a share of some machines, on and off. */
  private void neighbour(ScriptedFault t, List<Act> acts) {
    List<String> names = hit(t.part(), null);
    double slower = 1 / Math.max(0.1, 1 - t.size());
    for (int step = 0; step < STEPS; step++) {
      boolean on = step % 2 == 0;
      acts.add(
          new Act(
              t.atMs() + t.forMs() * step / STEPS,
              () ->
                  onStandins(
                      () -> names.forEach(n -> fleet.engine(n).faults().slow = on ? slower : 1))));
    }
    acts.add(
        new Act(
            t.atMs() + t.forMs(),
            () -> onStandins(() -> names.forEach(n -> fleet.engine(n).faults().slow = 1))));
  }

  private String anyGateway() {
    return fleet.gateways().get(random.nextInt(fleet.gateways().size()));
  }

  private void freeze(String name, double at, double length, List<Act> acts) {
    if (reserve(name, at, at + length)) {
      acts.add(new Act(at, () -> fleet.freeze(name)));
      acts.add(new Act(at + length, () -> fleet.goOn(name)));
    }
  }

  private void killGateway(String name, double at, double length, List<Act> acts) {
    if (reserve(name, at, at + length)) {
      acts.add(new Act(at, () -> fleet.kill(name)));
      acts.add(new Act(at + length, () -> fleet.startGateway(name)));
    }
  }

  /**
   * A rolling deploy: each server drains, the list saying so late, is stopped, and comes back cold.
   */
  private void deploy(ScriptedFault t, List<Act> acts) {
    double at = t.atMs();
    for (String name : hit(t.part(), null)) {
      if (reserve(name, at, at + t.forMs() + 350)) {
        double from = at;
        if (t.size() >= 0.5) { // it turns work away before the list says why
          acts.add(new Act(from, () -> onStandins(() -> fleet.engine(name).faults().full = true)));
        }
        acts.add(new Act(from + 150, () -> fleet.drain(name, true)));
        acts.add(new Act(from + 150 + t.forMs(), () -> fleet.crash(name, 0)));
        acts.add(new Act(from + 350 + t.forMs(), () -> fleet.restart(name)));
        at += 300;
      }
    }
  }

  private void zoneLoss(ScriptedFault t, List<Act> acts) {
    String zone = script.zones().get(random.nextInt(script.zones().size()));
    crash(
        fleet.engines().stream().filter(n -> n.startsWith(zone)).toList(),
        t.atMs(),
        t.forMs(),
        acts);
    fleet.gateways().stream()
        .filter(g -> g.startsWith("gw-" + zone))
        .forEach(g -> killGateway(g, t.atMs(), t.forMs(), acts));
  }
}
