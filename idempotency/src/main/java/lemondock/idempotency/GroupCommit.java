package lemondock.idempotency;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Group commit: records that arrive during a write are written together in the next one, with a
 * single sync. Called on one thread, on which callbacks report whether a record is durable; files
 * are written by another executor. The queue is bounded.
 */
public final class GroupCommit {
  private final AppendLog log;
  private final Executor caller;
  private final Executor disk;
  private final Settings settings;
  private final Supplier<List<byte[]>> snapshot;

  // Accessed on the caller's thread only.
  private List<byte[]> queuedRecords = new ArrayList<>();
  private List<Consumer<Optional<IOException>>> queuedCallbacks = new ArrayList<>();
  private boolean commitInProgress;
  private long commits;

  /** Length at which the log is compacted; written by the disk executor. */
  private volatile long compactAtBytes;

  /** Length of the log after the last successful commit, 0 before; written by the disk executor. */
  private volatile long logLength;

  /**
   * Limits on the queue and on the log.
   *
   * @param maxQueuedRecords maximum number of records that wait to be written
   * @param compactAtBytes length of the log at which it is compacted; it is compacted again when
   *     its length has doubled since, but not below this length
   */
  public record Settings(int maxQueuedRecords, long compactAtBytes) {}

  /**
   * Creates a group commit for an open log.
   *
   * @param caller runs callbacks on the thread that calls this object
   * @param disk executor that writes files
   * @param snapshot supplies all records that a log compacted at that moment needs; called on the
   *     caller's thread
   */
  public GroupCommit(
      AppendLog log,
      Executor caller,
      Executor disk,
      Settings settings,
      Supplier<List<byte[]>> snapshot) {
    this.log = log;
    this.caller = caller;
    this.disk = disk;
    this.settings = settings;
    this.snapshot = snapshot;
    this.compactAtBytes = settings.compactAtBytes();
  }

  /**
   * Commits a record. The callback gets an empty value once the record is durable, else the
   * failure.
   */
  public void append(byte[] record, Consumer<Optional<IOException>> callback) {
    if (queuedRecords.size() >= settings.maxQueuedRecords()) {
      IOException failure =
          new IOException(
              "more than " + settings.maxQueuedRecords() + " records wait for the disk");
      caller.execute(() -> callback.accept(Optional.of(failure)));
      return;
    }
    queuedRecords.add(record);
    queuedCallbacks.add(callback);
    commitQueued();
  }

  /** Number of commits so far, including failed ones; each writes its records with one sync. */
  public long commits() {
    return commits;
  }

  private void commitQueued() {
    if (commitInProgress || queuedRecords.isEmpty()) {
      return;
    }
    commitInProgress = true;
    List<byte[]> batch = queuedRecords;
    List<Consumer<Optional<IOException>>> callbacks = queuedCallbacks;
    queuedRecords = new ArrayList<>();
    queuedCallbacks = new ArrayList<>();
    // the snapshot already includes the batch: the store changes before its records are queued
    Optional<List<byte[]>> compactedRecords =
        logLength >= compactAtBytes ? Optional.of(snapshot.get()) : Optional.empty();
    try {
      disk.execute(
          () -> {
            Optional<IOException> failure = write(batch, compactedRecords);
            caller.execute(() -> onCommitted(callbacks, failure));
          });
    } catch (RejectedExecutionException e) {
      IOException failure =
          new IOException("the executor for disk writes rejected a commit, its queue is full", e);
      caller.execute(() -> onCommitted(callbacks, Optional.of(failure)));
    }
  }

  /** Runs on the disk executor. */
  private Optional<IOException> write(List<byte[]> batch, Optional<List<byte[]>> compactedRecords) {
    try {
      if (compactedRecords.isPresent()) {
        log.compact(compactedRecords.get());
        compactAtBytes = Math.max(settings.compactAtBytes(), 2 * log.length());
      } else {
        log.write(batch);
      }
      logLength = log.length();
      return Optional.empty();
    } catch (IOException e) {
      return Optional.of(e);
    } catch (RuntimeException e) {
      return Optional.of(new IOException(e));
    }
  }

  private void onCommitted(
      List<Consumer<Optional<IOException>>> callbacks, Optional<IOException> failure) {
    commitInProgress = false;
    commits++;
    callbacks.forEach(callback -> callback.accept(failure));
    commitQueued();
  }
}
