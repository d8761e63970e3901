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
 * Compares strategies of overload control by the priority weight of the calls that end in time,
 * with offered loads that are fractions and multiples of the capacity of a gateway on one
 * processor. System properties: {@code rounds}, {@code seconds} (length of a round), {@code way}
 * (only strategies whose names begin with it are measured) and those of {@link OverloadRig}.
 */
final class OverloadBenchmark implements Benchmark {
  private static final double[] LOAD_FACTORS = {0.5, 1, 2, 5, 10};
  private static final long FIRST_SEED = 10;
  private static final long PAUSE_SECONDS = 2;
  private static final double MILLIS_PER_PERCENT_OF_SECOND = 10.0;

  /**
   * Concurrent calls for each call per second of capacity, by Little's law: an answer takes 100 ms,
   * to which 50 % is added.
   */
  private static final double CALL_LIMIT_PER_CAPACITY = 0.15;

  private static final int MIN_CALL_LIMIT = 4;

  private final int rounds = Integer.getInteger("rounds", 3);
  private final double seconds = Integer.getInteger("seconds", 8);
  private final String strategyPrefix = System.getProperty("way", "");

  @Override
  public void run() throws Exception {
    try (OverloadRig rig = new OverloadRig()) {
      double capacity = measureCapacity(rig);
      printHeader(capacity);
      for (Map.Entry<String, String> strategy : settingsByStrategy(capacity).entrySet()) {
        if (strategy.getKey().startsWith(strategyPrefix)) {
          try (ChildProcess gateway = rig.startGateway(strategy.getValue())) {
            System.out.println(measure(rig, gateway, strategy.getKey(), capacity));
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
        "capacity %.0f calls per second on one processor; priority weight of calls in time per"
            + " second, %d rounds of %.0f s, median (spread)%n",
        capacity,
        rounds,
        seconds);
    StringBuilder header = new StringBuilder("| way |");
    for (double loadFactor : LOAD_FACTORS) {
      header.append(' ').append(loadFactor).append(" x |");
    }
    System.out.println(header + "\n| --- |" + " --- |".repeat(LOAD_FACTORS.length));
  }

  /** The settings {@code overload} and {@code limits} of each strategy, by its name. */
  private static Map<String, String> settingsByStrategy(double capacity) {
    int callLimit = Math.max(MIN_CALL_LIMIT, (int) (capacity * CALL_LIMIT_PER_CAPACITY));
    int wideCallLimit = callLimit * 8;
    String off = "\"overload\":{\"refuse\":false},";
    Map<String, String> settingsByStrategy = new LinkedHashMap<>();
    settingsByStrategy.put(
        "wait (as shipped)", "\"overload\":{}," + GatewaySettingsFile.WIDE_LIMITS);
    settingsByStrategy.put("off", off + GatewaySettingsFile.WIDE_LIMITS);
    settingsByStrategy.put("cap " + callLimit, off + "\"limits\":{\"maxCalls\":" + callLimit + "}");
    settingsByStrategy.put(
        "cap " + wideCallLimit, off + "\"limits\":{\"maxCalls\":" + wideCallLimit + "}");
    settingsByStrategy.put(
        "gradient",
        "\"overload\":{\"refuse\":false,\"gradient\":true}," + GatewaySettingsFile.WIDE_LIMITS);
    return settingsByStrategy;
  }

  /** Measures a strategy at every load and returns its row of the table. */
  private String measure(OverloadRig rig, ChildProcess gateway, String strategy, double capacity)
      throws InterruptedException {
    rig.warmUp(gateway, capacity / 2);
    StringBuilder row = new StringBuilder("| " + strategy + " |");
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
        outcome.printSummary(strategy, loadFactor);
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
