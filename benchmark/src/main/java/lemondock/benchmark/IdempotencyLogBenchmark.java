package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import lemondock.idempotency.AppendLog;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.IdempotencyStore;
import lemondock.idempotency.LockedDirectory;

/**
 * Measures the cost of storing non-idempotent calls in the write-ahead log, compared with calls
 * that are not stored: the wait until a call is durable, syncs and CPU time. Also measures the time
 * to replay the log. System properties: {@code rounds}, {@code seconds} (length of a round), {@code
 * folder} (parent folder of the logs).
 */
final class IdempotencyLogBenchmark implements Benchmark {
  private static final double[] CALLS_PER_SECOND = {1, 100, 10_000};
  private static final int[] LOG_SIZES = {1_000, 10_000, 100_000, 1_000_000};

  /** Below this rate a round is {@link #LOW_RATE_FACTOR} times as long. */
  private static final double LOW_CALLS_PER_SECOND = 10;

  private static final int LOW_RATE_FACTOR = 5;
  private static final int COLUMNS = 4;
  private static final int MAX_STORED_CALLS = 2_000_000;
  private static final int RECORDS_PER_WRITE = 10_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double NANOS_PER_MICRO = 1e3;

  private final int rounds = Integer.getInteger("rounds", 5);
  private final int seconds = Integer.getInteger("seconds", 4);
  private final String parentFolder =
      System.getProperty("folder", System.getProperty("java.io.tmpdir"));

  static IdempotencyStore newStore() {
    return new IdempotencyStore(
        new IdempotencyStore.Settings(MAX_STORED_CALLS, TimeUnit.DAYS.toMillis(1)));
  }

  static String key(int number) {
    return "3f1c9a52-0000-4000-8000-" + number;
  }

  @Override
  public void run() throws Exception {
    Path root = Files.createTempDirectory(Path.of(parentFolder), "lemondock-dispatch");
    System.out.println(
        "calls accepted, made durable, and ended; "
            + rounds
            + " rounds of "
            + seconds
            + " s, median (spread); file system "
            + Files.getFileStore(root).type()
            + "\n"
            + "| calls a second | book | until durable p50 us | p99 us | syncs a second"
            + " | CPU us a call |\n"
            + "| --- | --- | --- | --- | --- | --- |");
    for (double callsPerSecond : CALLS_PER_SECOND) {
      measureAppends(root, callsPerSecond);
    }
    System.out.println(
        "\n"
            + "| calls in the log | bytes | until all are known again, ms |\n"
            + "| --- | --- | --- |");
    for (int calls : LOG_SIZES) {
      measureReplay(root.resolve("s" + calls), calls);
    }
  }

  // ==== appending

  private void measureAppends(Path root, double callsPerSecond) throws Exception {
    int runSeconds = callsPerSecond < LOW_CALLS_PER_SECOND ? LOW_RATE_FACTOR * seconds : seconds;
    RoundValues notStored = new RoundValues(COLUMNS, rounds);
    RoundValues durable = new RoundValues(COLUMNS, rounds);
    for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
      Path folder = root.resolve("r" + callsPerSecond + "-" + round);
      notStored.record(round, runAppends(folder, callsPerSecond, runSeconds, false));
      durable.record(round, runAppends(folder, callsPerSecond, runSeconds, true));
    }
    printAppends(callsPerSecond, "none", notStored);
    printAppends(callsPerSecond, "durable", durable);
  }

  private static double[] runAppends(
      Path folder, double callsPerSecond, int runSeconds, boolean durable) throws Exception {
    int calls = Math.max(2, (int) (callsPerSecond * runSeconds));
    try (PacedAppends appends = new PacedAppends(folder, calls, durable)) {
      Duration cpuBefore = CpuTime.ofThisProcess();
      appends.run(callsPerSecond);
      long cpuNanos = CpuTime.ofThisProcess().minus(cpuBefore).toNanos();
      return new double[] {
        appends.waitMicros().getValueAtPercentile(50),
        appends.waitMicros().getValueAtPercentile(99),
        (double) appends.commits() / runSeconds,
        cpuNanos / NANOS_PER_MICRO / calls
      };
    }
  }

  private static void printAppends(double callsPerSecond, String store, RoundValues values) {
    System.out.println(
        String.format(Locale.ROOT, "| %.0f | %s", callsPerSecond, store) + values.format() + " |");
  }

  // ==== replay

  private void measureReplay(Path folder, int calls) throws IOException {
    Files.createDirectories(folder);
    long bytes = writeLog(folder, calls);
    double[] millis = new double[rounds];
    for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
      long startNanos = System.nanoTime();
      replayLog(folder, calls);
      if (round >= 0) {
        millis[round] = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
      }
    }
    Arrays.sort(millis);
    System.out.printf(
        Locale.ROOT,
        "| %,d | %,d | %.0f (%.0f to %.0f) |%n",
        calls,
        bytes,
        millis[rounds / 2],
        millis[0],
        millis[rounds - 1]);
  }

  /** Writes the records of calls with one tool call each; returns the log's length in bytes. */
  private static long writeLog(Path folder, int calls) throws IOException {
    try (LockedDirectory files = new LockedDirectory(folder);
        AppendLog log = new AppendLog(files)) {
      log.open(record -> {});
      IdempotencyStore store = newStore();
      List<byte[]> batch = new ArrayList<>();
      for (int i = 0; i < calls; i++) {
        batch.add(store.callStarted(key(i), System.currentTimeMillis()));
        batch.add(store.toolCallRelayed(key(i), "1/call_0_0", "stock"));
        batch.add(store.toolCallAnswered(key(i), "1/call_0_0"));
        batch.add(store.callEnded(key(i), CallStatus.COMPLETED));
        if (batch.size() > RECORDS_PER_WRITE) {
          log.write(batch);
          batch.clear();
        }
      }
      if (!batch.isEmpty()) {
        log.write(batch);
      }
      return log.length();
    }
  }

  private static void replayLog(Path folder, int calls) throws IOException {
    try (LockedDirectory files = new LockedDirectory(folder);
        AppendLog log = new AppendLog(files)) {
      IdempotencyStore store = newStore();
      log.open(store::replay);
      if (store.size() != calls) {
        throw new IOException(
            "replay of the log in "
                + folder
                + " restored "
                + store.size()
                + " calls, expected "
                + calls);
      }
    }
  }
}
