package lemondock.benchmark;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Reads and formats the CPU time of processes. */
final class CpuTime {
  private static final int SHARE_SAMPLES = 10;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_PERCENT_OF_SECOND = 1e7;

  private CpuTime() {}

  /** The CPU time that this process has used so far; zero if the platform does not report it. */
  static Duration ofThisProcess() {
    return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  /** The CPU time between two readings, divided by the number of events, in microseconds. */
  static double microsPerEvent(Duration before, Duration after, double events) {
    return after.minus(before).toNanos() / NANOS_PER_MICRO / events;
  }

  /**
   * Samples the CPU time of a process each second for ten seconds and formats its use of one
   * processor, in percent, as {@code median (minimum to maximum)}.
   */
  static String formatShare(ChildProcess process) throws InterruptedException {
    RoundValues shares = new RoundValues(1, SHARE_SAMPLES);
    for (int i = 0; i < SHARE_SAMPLES; i++) {
      Duration before = process.cpuTime();
      TimeUnit.SECONDS.sleep(1);
      long usedNanos = process.cpuTime().minus(before).toNanos();
      shares.record(i, usedNanos / NANOS_PER_PERCENT_OF_SECOND);
    }
    return shares.format(0);
  }
}
