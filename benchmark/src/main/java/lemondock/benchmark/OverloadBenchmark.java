package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.Supplier;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;

/**
 * Calls at a pace that does not wait for answers, at parts and multiples of what a gateway on one
 * processor can do, and what they were worth in time. A call is in time when its first token comes
 * within its class's aim and its last within a second of it.
 */
final class OverloadBenchmark {
  private static final long MICROS = 1_000_000;
  private static final int WORDS = 1_000;
  private static final int ANSWER = 20;
  private static final int SESSIONS = 200;

  /** Calls a second that one processor can do, if known from a run before; 0 has it found. */
  private static final int KNOWN = Integer.getInteger("capacity", 0);

  /** Aims (microseconds) and worths of the two classes; every fourth call is of the second. */
  private static final long[] AIM = {500_000, 1_500_000};

  private static final int[] WORTH = {1, 3};
  private static final String[] CLASSES = {"sale-lookup", "day-close"};

  private final String prompt;
  private final Map<Integer, List<String>> sessions = new HashMap<>();

  OverloadBenchmark() {
    SplittableRandom random = new SplittableRandom(1);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < WORDS; i++) {
      text.append(" w").append(random.nextInt(10_000));
    }
    prompt = text.toString();
  }

  /** The classes as settings. */
  private static String classes() {
    return "[{\"name\":\"sale-lookup\",\"worth\":1,\"aimMs\":500,\"deadlineMs\":2000,\"maxTokens\":100,\"tokenAimMs\":100},"
               + "{\"name\":\"day-close\",\"worth\":3,\"aimMs\":1500,\"deadlineMs\":3000,\"maxTokens\":100,\"tokenAimMs\":100}]";
  }

  /**
   * What came of one run: worth in time a second by class, calls by how they ended, and of each 100
   * ms the part in time.
   */
  private static final class Outcome {
    final AtomicLongArray good = new AtomicLongArray(2);
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicInteger broken = new AtomicInteger();
    final AtomicLongArray asked;
    final AtomicLongArray inTime;
    final AtomicLongArray lateAt;
    int sent;
    double seconds;

    Outcome(double seconds) {
      this.seconds = seconds;
      asked = new AtomicLongArray((int) (seconds * 10) + 1);
      inTime = new AtomicLongArray((int) (seconds * 10) + 1);
      lateAt = new AtomicLongArray((int) (seconds * 10) + 1);
    }

    /** Of each half second: calls asked, in time, late, and the rest, which were refused. */
    void trace(double from) {
      for (int slot = (int) (from * 10); slot + 5 < asked.length(); slot += 5) {
        long[] sums = new long[3];
        for (int i = slot; i < slot + 5; i++) {
          sums[0] += asked.get(i);
          sums[1] += inTime.get(i);
          sums[2] += lateAt.get(i);
        }
        System.err.printf(
            Locale.ROOT,
            "  at %.1f s: asked %d, in time %d, late %d, refused %d%n",
            slot / 10.0,
            sums[0],
            sums[1],
            sums[2],
            sums[0] - sums[1] - sums[2]);
      }
    }

    double worth() {
      return (good.get(0) * WORTH[0] + good.get(1) * WORTH[1]) / seconds;
    }
  }

  /**
   * Sends calls at the paces given, one after the other for {@code seconds[i]} at {@code rates[i]}
   * a second.
   */
  private Outcome run(StreamLoad load, int port, double[] rates, double[] seconds, long seed)
      throws InterruptedException {
    List<String> sessions = this.sessions.get(port);
    if (sessions == null) { // opened while nothing presses
      sessions = new ArrayList<>();
      while (sessions.size()
          < SESSIONS) { // a gateway that has just started refuses some of many at once
        sessions.addAll(load.sessions(port, 10).stream().filter(Objects::nonNull).toList());
      }
      this.sessions.put(port, sessions);
    }
    SplittableRandom random = new SplittableRandom(seed);
    Outcome outcome = new Outcome(Arrays.stream(seconds).sum());
    AtomicInteger open = new AtomicInteger();
    long begun = System.nanoTime();
    double at = 0;
    double phaseEnd = 0;
    for (int phase = 0; phase < rates.length; phase++) {
      phaseEnd += seconds[phase];
      while (true) {
        at += -Math.log(1 - random.nextDouble()) / rates[phase];
        if (at >= phaseEnd) {
          at = phaseEnd;
          break;
        }
        long wait = begun + (long) (at * 1e9) - System.nanoTime();
        if (wait > 200_000) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        int number = outcome.sent++;
        int classId = number % 4 == 3 ? 1 : 0;
        String session = sessions.get(number % sessions.size());
        byte[] body =
            StreamLoad.call(
                number,
                CLASSES[classId],
                "#o" + number + "# answer in " + ANSWER + " words " + prompt);
        open.incrementAndGet();
        int slot = (int) (at * 10);
        outcome.asked.incrementAndGet(slot);
        load.send(number, port, session, body, () -> new Heard(outcome, classId, slot, open));
      }
    }
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (open.get() > 0 && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    return outcome;
  }

  private static final class Heard implements ResponseReceiver {
    private final Outcome outcome;
    private final int classId;
    private final int slot;
    private final AtomicInteger open;
    private final long sent = System.nanoTime() / 1_000;
    private long first;
    private boolean refused;
    private boolean whole;

    Heard(Outcome outcome, int classId, int slot, AtomicInteger open) {
      this.outcome = outcome;
      this.classId = classId;
      this.slot = slot;
      this.open = open;
    }

    @Override
    public Object mapEvent(SseEvent event) {
      return event.data().contains("\"error\"")
          ? "error"
          : event.data().contains("\"result\"")
              ? "result"
              : event.data().contains("progress") ? "token" : "";
    }

    @Override
    public void onEvent(Object mapped) {
      if (mapped.equals("token") && first == 0) {
        first = System.nanoTime() / 1_000;
      }
      refused |= mapped.equals("error");
      whole |= mapped.equals("result");
    }

    @Override
    public void onComplete() {
      long now = System.nanoTime() / 1_000;
      if (whole && first - sent <= AIM[classId] && now - first <= MICROS) {
        outcome.good.incrementAndGet(classId);
        outcome.inTime.incrementAndGet(slot);
      } else if (whole) {
        outcome.late.incrementAndGet();
        outcome.lateAt.incrementAndGet(slot);
      } else {
        outcome.refused.incrementAndGet();
      }
      open.decrementAndGet();
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      if (first == 0) {
        outcome.refused.incrementAndGet();
      } else {
        outcome.broken.incrementAndGet();
      }
      open.decrementAndGet();
    }
  }

  /** The ways that are compared: settings of overload and limits. */
  private static Map<String, String> ways(int cap) {
    Map<String, String> ways = new LinkedHashMap<>();
    ways.put("wait (as shipped)", "\"overload\":{},\"limits\":{\"maxCalls\":40000}");
    ways.put("off", "\"overload\":{\"refuse\":false},\"limits\":{\"maxCalls\":40000}");
    ways.put("cap " + cap, "\"overload\":{\"refuse\":false},\"limits\":{\"maxCalls\":" + cap + "}");
    ways.put(
        "cap " + cap * 8,
        "\"overload\":{\"refuse\":false},\"limits\":{\"maxCalls\":" + cap * 8 + "}");
    ways.put(
        "gradient",
        "\"overload\":{\"refuse\":false,\"gradient\":true},\"limits\":{\"maxCalls\":40000}");
    return ways;
  }

  /** The offered load with the most worth in time, found by steps: what a gateway can do. */
  private double capacity(Supplier<StreamLoad> loads, int port) throws InterruptedException {
    double best = 0;
    double at = 0;
    for (double rate = 50; rate < 20_000; rate *= 1.25) {
      try (StreamLoad load = loads.get()) {
        double worth = run(load, port, new double[] {rate}, new double[] {4}, 5).worth();
        if (worth > best) {
          best = worth;
          at = rate;
        } else if (worth < 0.9 * best) {
          break;
        }
      }
    }
    return at;
  }

  private static String spread(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(v -> v).sorted().toArray();
    return String.format(
        Locale.ROOT,
        "%.0f (%.0f to %.0f)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  /**
   * Seconds after the burst's end until calls are in time again for good: 95 % of those asked in
   * each later 100 ms.
   */
  private static double recovery(Outcome outcome, double burstEnd) {
    int slots = outcome.asked.length();
    int last = (int) (burstEnd * 10);
    for (int slot = last; slot < slots - 1; slot++) {
      if (outcome.asked.get(slot) > 0
          && outcome.inTime.get(slot) < 0.95 * outcome.asked.get(slot)) {
        last = slot + 1;
      }
    }
    return last / 10.0 - burstEnd;
  }

  /**
   * How long after a burst of ten times the capacity, and after a pause of the process, calls are
   * in time again.
   */
  static void recovery() throws Exception {
    int rounds = Integer.getInteger("rounds", 5);
    ChildProcess engine = otherProcessors("engine", "100000", "5");
    OverloadBenchmark it = new OverloadBenchmark();
    ChildProcess gateway =
        oneProcessor(overloadSettings("\"limits\":{\"maxCalls\":40000}", engine.port));
    try (StreamLoad load = overloadLoad()) {
      it.run(load, gateway.port, new double[] {100, 400}, new double[] {4, 4}, 1);
    }
    double capacity =
        KNOWN > 0 ? KNOWN : it.capacity(OverloadBenchmark::overloadLoad, gateway.port);
    System.out.printf(
        Locale.ROOT,
        "capacity %.0f calls a second on one processor; %d rounds%n",
        capacity,
        rounds);
    List<Double> after = new ArrayList<>();
    List<Double> broken = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      try (StreamLoad load = overloadLoad()) {
        Outcome outcome =
            it.run(
                load,
                gateway.port,
                new double[] {capacity / 2, capacity * 10, capacity / 2},
                new double[] {3, 10, 8},
                20 + round);
        outcome.trace(12);
        after.add(1_000 * recovery(outcome, 13));
        broken.add((double) outcome.broken.get());
      }
    }
    System.out.println(
        "after a burst of 10 s: in time again after "
            + spread(after)
            + " ms; broken streams "
            + spread(broken));
    after.clear();
    broken.clear();
    for (int round = 0; round < rounds; round++) {
      try (StreamLoad load = overloadLoad()) {
        Thread pause =
            new Thread(
                () -> {
                  try {
                    TimeUnit.SECONDS.sleep(3);
                    gateway.signal("STOP");
                    TimeUnit.SECONDS.sleep(3);
                    gateway.signal("CONT");
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                  }
                });
        pause.start();
        Outcome outcome =
            it.run(load, gateway.port, new double[] {capacity / 2}, new double[] {14}, 40 + round);
        pause.join();
        outcome.trace(2);
        after.add(1_000 * recovery(outcome, 6.2)); // sessions are opened first
        broken.add((double) outcome.broken.get());
      }
    }
    System.out.println(
        "after a pause of 3 s: in time again after "
            + spread(after)
            + " ms; broken streams "
            + spread(broken));
    gateway.process.destroy();
    engine.process.destroy();
  }

  private static Path overloadSettings(String more, int engine) throws IOException {
    Path plain = BenchmarkMain.settings("{\"tickMs\":10,\"intervalMs\":10}", engine);
    String text = Files.readString(plain);
    int from = text.indexOf("\"classes\":[");
    text =
        text.substring(0, from)
            + "\"classes\":"
            + classes()
            + text.substring(text.indexOf(",\"kinds\""));
    Files.writeString(plain, text.replace("\"limits\":{\"maxCalls\":40000}", more));
    return plain;
  }

  /** One processor for a gateway, if the system lets us say so; engine and load have the others. */
  private static ChildProcess oneProcessor(Path settings) throws IOException {
    return new ChildProcess(List.of("taskset", "-c", "0"), "1g", "gateway", settings.toString());
  }

  private static ChildProcess otherProcessors(String... args) throws IOException {
    return new ChildProcess(
        List.of("taskset", "-c", "1-" + (Runtime.getRuntime().availableProcessors() - 1)),
        "2g",
        args);
  }

  private static StreamLoad overloadLoad() {
    return new StreamLoad(3, 5_000);
  }

  /** Worth in time against offered load, by the ways to keep overload out. */
  static void measure() throws Exception {
    int rounds = Integer.getInteger("rounds", 3);
    double seconds = Integer.getInteger("seconds", 8);
    ChildProcess engine = otherProcessors("engine", "100000", "5");
    OverloadBenchmark it = new OverloadBenchmark();
    ChildProcess first =
        oneProcessor(overloadSettings("\"limits\":{\"maxCalls\":40000}", engine.port));
    try (StreamLoad load = overloadLoad()) { // warms up
      it.run(load, first.port, new double[] {100, 400}, new double[] {4, 4}, 1);
    }
    double capacity = KNOWN > 0 ? KNOWN : it.capacity(OverloadBenchmark::overloadLoad, first.port);
    first.process.destroy();
    final int cap =
        Math.max(4, (int) (capacity * 0.15)); // Little: an answer of 100 ms, and half as much
    // again
    System.out.printf(
        Locale.ROOT,
        "capacity %.0f calls a second on one processor; worth in time a second, %d rounds"
            + " of %.0f s, median (spread)%n",
        capacity,
        rounds,
        seconds);
    double[] loads = {0.5, 1, 2, 5, 10};
    StringBuilder head = new StringBuilder("| way |");
    for (double load : loads) {
      head.append(' ').append(load).append(" x |");
    }
    System.out.println(head + "\n| --- |" + " --- |".repeat(loads.length));
    for (Map.Entry<String, String> way : ways(cap).entrySet()) {
      if (!way.getKey().startsWith(System.getProperty("way", ""))) {
        continue;
      }
      ChildProcess gateway = oneProcessor(overloadSettings(way.getValue(), engine.port));
      try (StreamLoad load = overloadLoad()) {
        it.run(load, gateway.port, new double[] {100, capacity / 2}, new double[] {4, 4}, 1);
      }
      StringBuilder line = new StringBuilder("| " + way.getKey() + " |");
      for (double times : loads) {
        List<Double> worths = new ArrayList<>();
        List<Double> cpu = new ArrayList<>();
        for (int round = 0; round < rounds; round++) {
          try (StreamLoad load = overloadLoad()) {
            Duration before = gateway.cpu();
            Outcome outcome =
                it.run(
                    load,
                    gateway.port,
                    new double[] {capacity * times},
                    new double[] {seconds},
                    10 + round);
            worths.add(outcome.worth());
            cpu.add(gateway.cpu().minus(before).toMillis() / 10.0 / seconds);
            System.err.printf(
                Locale.ROOT,
                "%s at %.1f x: worth %.0f, sent %d, in time %d and %d, refused %d,"
                    + " late %d, broken %d%n",
                way.getKey(),
                times,
                outcome.worth(),
                outcome.sent,
                outcome.good.get(0),
                outcome.good.get(1),
                outcome.refused.get(),
                outcome.late.get(),
                outcome.broken.get());
          }
          TimeUnit.SECONDS.sleep(2);
        }
        line.append(' ').append(spread(worths)).append(", ").append(spread(cpu)).append(" % |");
      }
      System.out.println(line);
      gateway.process.destroy();
    }
    engine.process.destroy();
  }
}
