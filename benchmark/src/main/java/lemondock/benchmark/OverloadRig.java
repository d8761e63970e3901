package lemondock.benchmark;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import lemondock.benchmark.OpenLoopCalls.Phase;

/**
 * The setup of overload benchmarks: gateways pinned to the first processor, an engine pinned to the
 * others, and load for the gateways. Requires the program {@code taskset}. System property: {@code
 * capacity} (calls per second that one processor can handle, if known from an earlier run; with 0,
 * the default, the benchmark determines it).
 */
final class OverloadRig implements AutoCloseable {
  private static final int ENGINE_SLOTS = 100_000;
  private static final int TOKEN_MILLIS = 5;
  private static final int LOAD_LOOPS = 3;
  private static final int CONNECTIONS_PER_LOOP = 5_000;
  private static final double FIRST_CALLS_PER_SECOND = 50;
  private static final double MAX_CALLS_PER_SECOND = 20_000;
  private static final double RATE_STEP_FACTOR = 1.25;
  private static final double CAPACITY_TRIAL_SECONDS = 4;
  private static final long CAPACITY_SEED = 5;

  /** The search ends once the weight in time is less than this share of the best one. */
  private static final double MIN_SHARE_OF_BEST_WEIGHT = 0.9;

  private static final double WARM_UP_SECONDS = 4;
  private static final double FIRST_WARM_UP_CALLS_PER_SECOND = 100;
  private static final double SECOND_WARM_UP_CALLS_PER_SECOND = 400;
  private static final long WARM_UP_SEED = 1;

  private final int knownCapacity = Integer.getInteger("capacity", 0);
  private final ChildProcess engine;
  private final OpenLoopCalls calls = new OpenLoopCalls();

  /** Starts the engine. */
  OverloadRig() throws IOException {
    int lastProcessor = Runtime.getRuntime().availableProcessors() - 1;
    engine =
        ChildProcess.engine("2g", ENGINE_SLOTS, TOKEN_MILLIS)
            .launchedBy("taskset", "-c", "1-" + lastProcessor)
            .start();
  }

  /** Starts a gateway on the first processor, so that engine and load can use the others. */
  ChildProcess startGateway(String limits) throws IOException {
    GatewaySettingsFile settings =
        new GatewaySettingsFile(engine.port())
            .withClasses(OverloadClass.settingsJson())
            .withLimits(limits);
    return ChildProcess.gateway("1g", settings.write()).launchedBy("taskset", "-c", "0").start();
  }

  /** Runs the phases against a gateway; {@code seed} determines when calls are sent. */
  OverloadOutcome run(ChildProcess gateway, long seed, Phase... phases)
      throws InterruptedException {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS, CONNECTIONS_PER_LOOP)) {
      return calls.run(load, gateway.port(), List.of(phases), seed);
    }
  }

  /** Sends calls so that a gateway's code is JIT-compiled before anything is measured. */
  void warmUp(ChildProcess gateway) throws InterruptedException {
    warmUp(gateway, SECOND_WARM_UP_CALLS_PER_SECOND);
  }

  /** Warms up a gateway; the second of two phases has the given rate. */
  void warmUp(ChildProcess gateway, double callsPerSecond) throws InterruptedException {
    run(
        gateway,
        WARM_UP_SEED,
        new Phase(FIRST_WARM_UP_CALLS_PER_SECOND, WARM_UP_SECONDS),
        new Phase(callsPerSecond, WARM_UP_SECONDS));
  }

  /** The call rate with the most weight in time: known, or found by raising the rate in steps. */
  double capacity(ChildProcess gateway) throws InterruptedException {
    return knownCapacity > 0 ? knownCapacity : findCapacity(gateway);
  }

  private double findCapacity(ChildProcess gateway) throws InterruptedException {
    double bestWeight = 0;
    double bestRate = 0;
    for (double rate = FIRST_CALLS_PER_SECOND;
        rate < MAX_CALLS_PER_SECOND;
        rate *= RATE_STEP_FACTOR) {
      Phase trial = new Phase(rate, CAPACITY_TRIAL_SECONDS);
      double weight = run(gateway, CAPACITY_SEED, trial).weightInTimePerSecond();
      if (weight > bestWeight) {
        bestWeight = weight;
        bestRate = rate;
      } else if (weight < MIN_SHARE_OF_BEST_WEIGHT * bestWeight) {
        break;
      }
    }
    return bestRate;
  }

  /** Formats values as {@code median (minimum to maximum)}, without decimals. */
  static String formatSpread(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).toArray();
    Arrays.sort(sorted);
    return String.format(
        Locale.ROOT,
        "%.0f (%.0f to %.0f)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  /** Stops the engine. */
  @Override
  public void close() {
    engine.close();
  }
}
