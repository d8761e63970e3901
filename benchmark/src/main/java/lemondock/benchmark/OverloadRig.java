package lemondock.benchmark;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import lemondock.benchmark.OpenLoopCalls.Phase;

/**
 * What overload benchmarks are made of: an engine, gateways that have one processor to themselves,
 * and loads for them. Needs the program {@code taskset}. System property: {@code capacity} (calls a
 * second that one processor can do, if known from a run before; 0 has it found).
 */
final class OverloadRig implements AutoCloseable {
  private static final int ENGINE_SLOTS = 100_000;
  private static final int TOKEN_MILLIS = 5;
  private static final int LOAD_LOOPS = 3;
  private static final int CONNECTIONS_PER_LOOP = 5_000;
  private static final double FIRST_RATE = 50;
  private static final double MAX_RATE = 20_000;
  private static final double RATE_STEP = 1.25;
  private static final double CAPACITY_TRIAL_SECONDS = 4;
  private static final long CAPACITY_SEED = 5;

  /** The search ends once a rate gives less than this part of the best one. */
  private static final double DECLINE = 0.9;

  private static final double WARM_UP_SECONDS = 4;
  private static final double FIRST_WARM_UP_RATE = 100;
  private static final double SECOND_WARM_UP_RATE = 400;
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

  /** Starts a gateway on the first processor; engine and load have the others. */
  ChildProcess startGateway(String limits) throws IOException {
    GatewaySettingsFile settings =
        new GatewaySettingsFile(engine.port())
            .withClasses(OverloadClass.settingsJson())
            .withLimits(limits);
    return ChildProcess.gateway("1g", settings.write()).launchedBy("taskset", "-c", "0").start();
  }

  /** Sends calls at those paces, drawn from the seed. */
  OverloadOutcome run(ChildProcess gateway, long seed, Phase... phases)
      throws InterruptedException {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS, CONNECTIONS_PER_LOOP)) {
      return calls.run(load, gateway.port(), List.of(phases), seed);
    }
  }

  /** Has a gateway's code compiled before anything is measured. */
  void warmUp(ChildProcess gateway) throws InterruptedException {
    warmUp(gateway, SECOND_WARM_UP_RATE);
  }

  /** The same up to that rate. */
  void warmUp(ChildProcess gateway, double callsPerSecond) throws InterruptedException {
    run(
        gateway,
        WARM_UP_SEED,
        new Phase(FIRST_WARM_UP_RATE, WARM_UP_SECONDS),
        new Phase(callsPerSecond, WARM_UP_SECONDS));
  }

  /** The calls a second with the most weight in time: known, or found by steps. */
  double capacity(ChildProcess gateway) throws InterruptedException {
    return knownCapacity > 0 ? knownCapacity : findCapacity(gateway);
  }

  private double findCapacity(ChildProcess gateway) throws InterruptedException {
    double bestWeight = 0;
    double bestRate = 0;
    for (double rate = FIRST_RATE; rate < MAX_RATE; rate *= RATE_STEP) {
      Phase trial = new Phase(rate, CAPACITY_TRIAL_SECONDS);
      double weight = run(gateway, CAPACITY_SEED, trial).weightInTimePerSecond();
      if (weight > bestWeight) {
        bestWeight = weight;
        bestRate = rate;
      } else if (weight < DECLINE * bestWeight) {
        break;
      }
    }
    return bestRate;
  }

  /** Formats values as {@code median (least to most)}, without decimals. */
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

  /** Ends the engine. */
  @Override
  public void close() {
    engine.close();
  }
}
