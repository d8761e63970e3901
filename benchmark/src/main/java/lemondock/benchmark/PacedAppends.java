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
 * Runs calls at an even rate and appends them to an idempotency log. If they are not durable, they
 * only pass through the event loop, through which durable calls pass as well.
 */
final class PacedAppends implements AutoCloseable {
  private static final long MAX_LOG_BYTES = 64 << 20;
  private static final int MAX_QUEUED_RECORDS = 100_000;
  private static final int MAX_QUEUED_DISK_TASKS = 64;
  private static final long MIN_SLEEP_NANOS = 100_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DONE_TIMEOUT_SECONDS = 60;
  private static final long DISK_TIMEOUT_SECONDS = 10;

  private final int calls;
  private final boolean durable;
  private final ThreadLoop loop = new ThreadLoop("ledger", Throwable::printStackTrace);
  private final ExecutorService disk = WorkerPool.create(1, MAX_QUEUED_DISK_TASKS, "disk");
  private final LockedDirectory logDirectory;
  private final IdempotencyStore store = IdempotencyLogBenchmark.newStore();
  private final GroupCommit groupCommit;
  private final CountDownLatch done;
  private final AtomicInteger failures = new AtomicInteger();

  /** Recorded on the loop; read once all calls are done. */
  private final Histogram waitMicros = new Histogram(3);

  /**
   * Opens a log in a directory, which is created if it does not exist.
   *
   * @param durable whether calls are appended to the log
   */
  PacedAppends(Path directory, int calls, boolean durable) throws IOException {
    this.calls = calls;
    this.durable = durable;
    this.done = new CountDownLatch(calls);
    this.logDirectory = new LockedDirectory(Files.createDirectories(directory));
    AppendLog log = new AppendLog(logDirectory);
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
   * Runs all calls and waits up to 60 seconds until they have ended.
   *
   * @throws IOException if a record was not written or a call has not ended
   */
  void run(double callsPerSecond) throws IOException, InterruptedException {
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      sleepUntil(startNanos + (long) (i / callsPerSecond * NANOS_PER_SECOND));
      String key = IdempotencyLogBenchmark.key(i);
      long sentNanos = System.nanoTime();
      loop.execute(() -> handle(key, sentNanos));
    }
    if (!done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS) || failures.get() > 0) {
      throw new IOException(
          failures
              + " of "
              + calls
              + " calls were not written to the log; "
              + done.getCount()
              + " calls have not ended");
    }
  }

  private static void sleepUntil(long targetNanos) throws InterruptedException {
    long remainingNanos = targetNanos - System.nanoTime();
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

  /** Time from handing a call to the loop until it is durable, in microseconds. */
  Histogram waitMicros() {
    return waitMicros;
  }

  /** Number of syncs of the log so far. */
  long commits() {
    return groupCommit.commits();
  }

  @Override
  public void close() throws IOException {
    try {
      logDirectory.close();
      disk.shutdown();
      disk.awaitTermination(DISK_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      loop.close();
    }
  }
}
