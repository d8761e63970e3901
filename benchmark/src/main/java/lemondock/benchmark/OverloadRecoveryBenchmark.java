package lemondock.benchmark;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import lemondock.benchmark.OpenLoopCalls.Phase;

/**
 * Measures how long it takes until calls are in time again, after a burst of ten times the capacity
 * and after a pause of the gateway's process. System properties: {@code rounds} and those of {@link
 * OverloadRig}.
 */
final class OverloadRecoveryBenchmark implements Benchmark {
  private static final long FIRST_BURST_SEED = 20;
  private static final double BURST_FACTOR = 10;
  private static final double BEFORE_BURST_SECONDS = 3;
  private static final double BURST_SECONDS = 10;
  private static final double AFTER_BURST_SECONDS = 8;
  private static final long FIRST_PAUSE_SEED = 40;
  private static final long BEFORE_PAUSE_SECONDS = 3;
  private static final long PAUSE_SECONDS = 3;
  private static final double PAUSE_RUN_SECONDS = 14;

  /**
   * The second of the run by which the pause has certainly ended: the pause is timed from before
   * the run opens its sessions, and the run's seconds from its first calls on.
   */
  private static final double PAUSE_ENDED_SECOND = 6.2;

  /** The second of the run at which its trace begins, shortly before the burst ends. */
  private static final int BURST_TRACE_SECOND = 12;

  /** The second of the run at which its trace begins, shortly before the pause. */
  private static final int PAUSE_TRACE_SECOND = 2;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final int rounds = Integer.getInteger("rounds", 5);

  @Override
  public void run() throws Exception {
    try (OverloadRig rig = new OverloadRig();
        ChildProcess gateway = rig.startGateway(GatewaySettingsFile.WIDE_LIMITS)) {
      rig.warmUp(gateway);
      double capacity = rig.capacity(gateway);
      System.out.printf(
          Locale.ROOT,
          "capacity %.0f calls per second on one processor; %d rounds%n",
          capacity,
          rounds);
      measureBursts(rig, gateway, capacity);
      measurePauses(rig, gateway, capacity);
    }
  }

  private void measureBursts(OverloadRig rig, ChildProcess gateway, double capacity)
      throws InterruptedException {
    List<Double> recoveryMillis = new ArrayList<>();
    List<Double> broken = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      OverloadOutcome outcome =
          rig.run(
              gateway,
              FIRST_BURST_SEED + round,
              new Phase(capacity / 2, BEFORE_BURST_SECONDS),
              new Phase(capacity * BURST_FACTOR, BURST_SECONDS),
              new Phase(capacity / 2, AFTER_BURST_SECONDS));
      outcome.printTrace(BURST_TRACE_SECOND);
      double burstEndSecond = BEFORE_BURST_SECONDS + BURST_SECONDS;
      recoveryMillis.add(MILLIS_PER_SECOND * outcome.secondsUntilRecovered(burstEndSecond));
      broken.add((double) outcome.broken());
    }
    print("after a burst of 10 s", recoveryMillis, broken);
  }

  private void measurePauses(OverloadRig rig, ChildProcess gateway, double capacity)
      throws InterruptedException {
    List<Double> recoveryMillis = new ArrayList<>();
    List<Double> broken = new ArrayList<>();
    for (int round = 0; round < rounds; round++) {
      Thread pauseThread = new Thread(() -> pause(gateway));
      pauseThread.start();
      OverloadOutcome outcome =
          rig.run(gateway, FIRST_PAUSE_SEED + round, new Phase(capacity / 2, PAUSE_RUN_SECONDS));
      pauseThread.join();
      outcome.printTrace(PAUSE_TRACE_SECOND);
      recoveryMillis.add(MILLIS_PER_SECOND * outcome.secondsUntilRecovered(PAUSE_ENDED_SECOND));
      broken.add((double) outcome.broken());
    }
    print("after a pause of 3 s", recoveryMillis, broken);
  }

  private static void pause(ChildProcess gateway) {
    try {
      TimeUnit.SECONDS.sleep(BEFORE_PAUSE_SECONDS);
      gateway.signal("STOP");
      TimeUnit.SECONDS.sleep(PAUSE_SECONDS);
      gateway.signal("CONT");
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(
          "cannot pause the gateway on port " + gateway.port() + " with SIGSTOP and SIGCONT", e);
    }
  }

  private static void print(String cause, List<Double> recoveryMillis, List<Double> broken) {
    System.out.println(
        cause
            + ": in time again after "
            + OverloadRig.formatSpread(recoveryMillis)
            + " ms; broken streams "
            + OverloadRig.formatSpread(broken));
  }
}
