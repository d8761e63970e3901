package lemondock.benchmark;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemondock.benchmark.OpenLoopCalls.Phase;

/**
 * Priority weight of calls in time against offered load, by the ways to keep overload out: at parts
 * and multiples of what a gateway on one processor can do. System properties: {@code rounds},
 * {@code seconds} (of a round), {@code way} (the beginning of the only way that is measured) and
 * those of {@link OverloadRig}.
 */
final class OverloadBenchmark implements Benchmark {
  private static final double[] LOAD_FACTORS = {0.5, 1, 2, 5, 10};
  private static final long FIRST_SEED = 10;
  private static final long PAUSE_SECONDS = 2;
  private static final double MILLIS_PER_PERCENT_OF_SECOND = 10.0;

  /** By Little's law: an answer takes 100 ms, and half as much again. */
  private static final double CALLS_PER_CAPACITY = 0.15;

  private static final int MIN_CALL_LIMIT = 4;

  private final int rounds = Integer.getInteger("rounds", 3);
  private final double seconds = Integer.getInteger("seconds", 8);
  private final String onlyWay = System.getProperty("way", "");

  @Override
  public void run() throws Exception {
    try (OverloadRig rig = new OverloadRig()) {
      double capacity = measureCapacity(rig);
      printHeader(capacity);
      for (Map.Entry<String, String> way : limitsByWay(capacity).entrySet()) {
        if (way.getKey().startsWith(onlyWay)) {
          try (ChildProcess gateway = rig.startGateway(way.getValue())) {
            System.out.println(measure(rig, gateway, way.getKey(), capacity));
          }
        }
      }
    }
  }

  private static double measureCapacity(OverloadRig rig) throws IOException, InterruptedException {
    try (ChildProcess gateway = rig.startGateway(GatewaySettingsFile.WIDE_LIMITS)) {
      rig.warmUp(gateway);
      return rig.capacity(gateway);
    }
  }

  private void printHeader(double capacity) {
    System.out.printf(
        Locale.ROOT,
        "capacity %.0f calls a second on one processor; worth in time a second, %d rounds"
            + " of %.0f s, median (spread)%n",
        capacity,
        rounds,
        seconds);
    StringBuilder header = new StringBuilder("| way |");
    for (double loadFactor : LOAD_FACTORS) {
      header.append(' ').append(loadFactor).append(" x |");
    }
    System.out.println(header + "\n| --- |" + " --- |".repeat(LOAD_FACTORS.length));
  }

  /** The ways that are compared: settings of overload and limits. */
  private static Map<String, String> limitsByWay(double capacity) {
    int callLimit = Math.max(MIN_CALL_LIMIT, (int) (capacity * CALLS_PER_CAPACITY));
    int wideCallLimit = callLimit * 8;
    String off = "\"overload\":{\"refuse\":false},";
    Map<String, String> ways = new LinkedHashMap<>();
    ways.put("wait (as shipped)", "\"overload\":{}," + GatewaySettingsFile.WIDE_LIMITS);
    ways.put("off", off + GatewaySettingsFile.WIDE_LIMITS);
    ways.put("cap " + callLimit, off + "\"limits\":{\"maxCalls\":" + callLimit + "}");
    ways.put("cap " + wideCallLimit, off + "\"limits\":{\"maxCalls\":" + wideCallLimit + "}");
    ways.put(
        "gradient",
        "\"overload\":{\"refuse\":false,\"gradient\":true}," + GatewaySettingsFile.WIDE_LIMITS);
    return ways;
  }

  /** Measures a way at all loads; gives its row of the table. */
  private String measure(OverloadRig rig, ChildProcess gateway, String way, double capacity)
      throws InterruptedException {
    rig.warmUp(gateway, capacity / 2);
    StringBuilder row = new StringBuilder("| " + way + " |");
    for (double loadFactor : LOAD_FACTORS) {
      List<Double> weights = new ArrayList<>();
      List<Double> cpuPercents = new ArrayList<>();
      for (int round = 0; round < rounds; round++) {
        Duration cpuBefore = gateway.cpuTime();
        OverloadOutcome outcome =
            rig.run(gateway, FIRST_SEED + round, new Phase(capacity * loadFactor, seconds));
        long cpuMillis = gateway.cpuTime().minus(cpuBefore).toMillis();
        weights.add(outcome.weightInTimePerSecond());
        cpuPercents.add(cpuMillis / MILLIS_PER_PERCENT_OF_SECOND / seconds);
        outcome.printSummary(way, loadFactor);
        TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
      }
      row.append(' ')
          .append(OverloadRig.formatSpread(weights))
          .append(", ")
          .append(OverloadRig.formatSpread(cpuPercents))
          .append(" % |");
    }
    return row.toString();
  }
}
