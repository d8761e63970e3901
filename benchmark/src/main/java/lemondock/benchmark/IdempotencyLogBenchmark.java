package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lemondock.idempotency.AppendLog;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.GroupCommit;
import lemondock.idempotency.IdempotencyStore;
import lemondock.idempotency.LockedDirectory;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.WorkerPool;
import org.HdrHistogram.Histogram;

/**
 * What it costs to remember calls that may run once: the wait until a call is durable, syncs, CPU;
 * and the time to read the log again.
 */
final class IdempotencyLogBenchmark {
  private static final int KEPT = 2_000_000;
  private static final long MOST_BYTES = 64 << 20;
  private static final int QUEUE = 100_000;
  private static final double[] RATES = {1, 100, 10_000};
  private static final int[] SIZES = {1_000, 10_000, 100_000, 1_000_000};

  private IdempotencyLogBenchmark() {}

  private static IdempotencyStore book() {
    return new IdempotencyStore(new IdempotencyStore.Settings(KEPT, TimeUnit.DAYS.toMillis(1)));
  }

  static void measure() throws Exception {
    int rounds = Integer.getInteger("rounds", 5);
    int seconds = Integer.getInteger("seconds", 4);
    Path root =
        Files.createTempDirectory(
            Path.of(System.getProperty("folder", System.getProperty("java.io.tmpdir"))),
            "lemondock-dispatch");
    System.out.println(
        "calls taken, made durable, and ended; "
            + rounds
            + " rounds of "
            + seconds
            + " s, median (spread); file system "
            + Files.getFileStore(root).type()
            + "\n"
            + "| calls a second | book | until durable p50 us | p99 us | syncs a second"
            + " | CPU us a call |\n"
            + "| --- | --- | --- | --- | --- | --- |");
    for (double rate : RATES) {
      double[][][] rows = new double[2][4][rounds];
      for (int round = -1; round < rounds; round++) { // the first warms up
        for (int kept = 0; kept < 2; kept++) {
          double[] row =
              run(
                  root.resolve("r" + rate + "-" + round),
                  rate,
                  rate < 10 ? 5 * seconds : seconds,
                  kept == 1);
          for (int c = 0; round >= 0 && c < row.length; c++) {
            rows[kept][c][round] = row[c];
          }
        }
      }
      for (int kept = 0; kept < 2; kept++) {
        System.out.println(
            String.format(Locale.ROOT, "| %.0f | %s", rate, kept == 1 ? "durable" : "none")
                + BenchmarkMain.columns(rows[kept])
                + " |");
      }
    }
    System.out.println(
        "\n"
            + "| calls in the log | bytes | until all are known again, ms |\n"
            + "| --- | --- | --- |");
    for (int size : SIZES) {
      recovery(root.resolve("s" + size), size, rounds);
    }
  }

  /**
   * Calls at an even pace; without a book a call only passes the context, as it does in any case.
   */
  private static double[] run(Path folder, double rate, int seconds, boolean kept)
      throws Exception {
    ThreadLoop loop = new ThreadLoop("ledger", Throwable::printStackTrace);
    ExecutorService disk = WorkerPool.create(1, 64, "disk");
    Histogram waits = new Histogram(3);
    Duration cpu;
    long commits = 0;
    int calls = Math.max(2, (int) (rate * seconds));
    CountDownLatch done = new CountDownLatch(calls);
    AtomicInteger failed = new AtomicInteger();
    try (LockedDirectory files = new LockedDirectory(Files.createDirectories(folder))) {
      IdempotencyStore book = book();
      AppendLog log = new AppendLog(files);
      log.open(book::replay);
      GroupCommit committer =
          new GroupCommit(
              log,
              loop::execute,
              disk,
              new GroupCommit.Settings(QUEUE, MOST_BYTES),
              () -> book.snapshot(loop.now() / 1_000));
      Duration before = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
      long begun = System.nanoTime();
      for (int i = 0; i < calls; i++) {
        long wait = begun + (long) (i / rate * 1e9) - System.nanoTime();
        if (wait > 100_000) {
          TimeUnit.NANOSECONDS.sleep(wait);
        }
        String key = "3f1c9a52-0000-4000-8000-" + i;
        long from = System.nanoTime();
        loop.execute(
            () -> {
              if (!kept) {
                waits.recordValue((System.nanoTime() - from) / 1_000);
                done.countDown();
                return;
              }
              committer.append(
                  book.callStarted(key, loop.now() / 1_000),
                  failure -> {
                    waits.recordValue((System.nanoTime() - from) / 1_000);
                    failed.addAndGet(failure.isPresent() ? 1 : 0);
                    committer.append(
                        book.callEnded(key, CallStatus.COMPLETED), later -> done.countDown());
                  });
            });
      }
      if (!done.await(60, TimeUnit.SECONDS) || failed.get() > 0) {
        throw new IOException(failed + " records were not written");
      }
      cpu = ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO).minus(before);
      commits = committer.commits();
    } finally {
      disk.shutdown();
      disk.awaitTermination(10, TimeUnit.SECONDS);
      loop.close();
    }
    return new double[] {
      waits.getValueAtPercentile(50),
      waits.getValueAtPercentile(99),
      (double) commits / seconds,
      cpu.toNanos() / 1e3 / calls
    };
  }

  private static void recovery(Path folder, int calls, int rounds) throws IOException {
    Files.createDirectories(folder);
    long bytes;
    try (LockedDirectory files = new LockedDirectory(folder);
        AppendLog log = new AppendLog(files)) {
      log.open(record -> {});
      IdempotencyStore book = book();
      List<byte[]> batch = new ArrayList<>();
      for (int i = 0; i < calls; i++) {
        String key = "3f1c9a52-0000-4000-8000-" + i;
        batch.add(book.callStarted(key, System.currentTimeMillis()));
        batch.add(book.toolCallRelayed(key, "1/call_0_0", "stock"));
        batch.add(book.toolCallAnswered(key, "1/call_0_0"));
        batch.add(book.callEnded(key, CallStatus.COMPLETED));
        if (batch.size() > 10_000) {
          log.write(batch);
          batch.clear();
        }
      }
      if (!batch.isEmpty()) {
        log.write(batch);
      }
      bytes = log.length();
    }
    double[] millis = new double[rounds];
    for (int round = -1; round < rounds; round++) {
      long from = System.nanoTime();
      try (LockedDirectory files = new LockedDirectory(folder);
          AppendLog log = new AppendLog(files)) {
        IdempotencyStore book = book();
        log.open(book::replay);
        if (book.size() != calls) {
          throw new IOException(book.size() + " calls known of " + calls);
        }
      }
      if (round >= 0) {
        millis[round] = (System.nanoTime() - from) / 1e6;
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
}
