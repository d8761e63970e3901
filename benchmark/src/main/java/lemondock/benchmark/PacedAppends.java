package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
 * Calls at an even pace that are written to an idempotency log; without one a call only passes the
 * loop, as it does in any case.
 */
final class PacedAppends implements AutoCloseable {
  private static final long MAX_LOG_BYTES = 64 << 20;
  private static final int MAX_QUEUED_RECORDS = 100_000;
  private static final int DISK_QUEUE = 64;
  private static final long MIN_SLEEP_NANOS = 100_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DONE_WAIT_SECONDS = 60;
  private static final long DISK_WAIT_SECONDS = 10;

  private final int calls;
  private final boolean durable;
  private final ThreadLoop loop = new ThreadLoop("ledger", Throwable::printStackTrace);
  private final ExecutorService disk = WorkerPool.create(1, DISK_QUEUE, "disk");
  private final LockedDirectory files;
  private final IdempotencyStore store = IdempotencyLogBenchmark.newStore();
  private final GroupCommit groupCommit;
  private final CountDownLatch done;
  private final AtomicInteger failures = new AtomicInteger();

  /** Recorded on the loop; read once all calls are done. */
  private final Histogram waitMicros = new Histogram(3);

  /** Opens a log in a folder. */
  PacedAppends(Path folder, int calls, boolean durable) throws IOException {
    this.calls = calls;
    this.durable = durable;
    this.done = new CountDownLatch(calls);
    this.files = new LockedDirectory(Files.createDirectories(folder));
    AppendLog log = new AppendLog(files);
    log.open(store::replay);
    this.groupCommit =
        new GroupCommit(
            log,
            loop::execute,
            disk,
            new GroupCommit.Settings(MAX_QUEUED_RECORDS, MAX_LOG_BYTES),
            () -> store.snapshot(nowMillis()));
  }

  private long nowMillis() {
    return TimeUnit.MICROSECONDS.toMillis(loop.now());
  }

  /**
   * Sends all calls and waits until they have ended.
   *
   * @throws IOException if a record was not written
   */
  void run(double callsPerSecond) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      sleepUntil(startNanos + (long) (i / callsPerSecond * NANOS_PER_SECOND));
      String key = IdempotencyLogBenchmark.key(i);
      long sentNanos = System.nanoTime();
      loop.execute(() -> handle(key, sentNanos));
    }
    if (!done.await(DONE_WAIT_SECONDS, TimeUnit.SECONDS) || failures.get() > 0) {
      throw new IOException(failures + " records were not written");
    }
  }

  private static void sleepUntil(long momentNanos) throws InterruptedException {
    long remainingNanos = momentNanos - System.nanoTime();
    if (remainingNanos > MIN_SLEEP_NANOS) {
      TimeUnit.NANOSECONDS.sleep(remainingNanos);
    }
  }

  private void handle(String key, long sentNanos) {
    if (!durable) {
      recordWait(sentNanos);
      done.countDown();
      return;
    }
    groupCommit.append(
        store.callStarted(key, nowMillis()),
        failure -> {
          recordWait(sentNanos);
          failures.addAndGet(failure.isPresent() ? 1 : 0);
          groupCommit.append(
              store.callEnded(key, CallStatus.COMPLETED), ignored -> done.countDown());
        });
  }

  private void recordWait(long sentNanos) {
    waitMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentNanos));
  }

  /** From handing a call to the loop until it is durable, in microseconds. */
  Histogram waitMicros() {
    return waitMicros;
  }

  /** Syncs of the log so far. */
  long commits() {
    return groupCommit.commits();
  }

  @Override
  public void close() throws IOException {
    try {
      files.close();
      disk.shutdown();
      disk.awaitTermination(DISK_WAIT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      loop.close();
    }
  }
}
