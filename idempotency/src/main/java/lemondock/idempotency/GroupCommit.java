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
 * Group commit: records that come while others are written go out together next, with one sync for
 * all. Called on one thread, which hears there whether a record is durable; files are written by
 * another executor. The queue is bounded.
 */
public final class GroupCommit {
  private final AppendLog log;
  private final Executor caller;
  private final Executor disk;
  private final Settings settings;
  private final Supplier<List<byte[]>> snapshot;

  // The caller's thread only.
  private List<byte[]> queuedRecords = new ArrayList<>();
  private List<Consumer<Optional<IOException>>> queuedCallbacks = new ArrayList<>();
  private boolean commitInProgress;
  private long commits;

  /** Length at which the log is compacted; written by the disk executor. */
  private volatile long compactAtBytes;

  /** Length of the log; written by the disk executor. */
  private volatile long logLength;

  /**
   * The bounds.
   *
   * @param maxQueuedRecords records that may wait for the disk
   * @param compactAtBytes length of the log at which it is compacted, and again when it has doubled
   *     since
   */
  public record Settings(int maxQueuedRecords, long compactAtBytes) {}

  /**
   * Makes a group commit for an open log.
   *
   * @param caller the thread on which it is called and calls back
   * @param disk where files are written
   * @param snapshot all records that a compacted log needs, at the moment of the call; called on
   *     the caller's thread
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

  /** Commits a record; the callback hears nothing once it is durable, or why it is not. */
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

  /** Commits so far; each is one sync. */
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
    // a snapshot has all of the batch already: the store changes before its records are queued
    Optional<List<byte[]>> compacted =
        logLength >= compactAtBytes ? Optional.of(snapshot.get()) : Optional.empty();
    try {
      disk.execute(
          () -> {
            Optional<IOException> failure = write(batch, compacted);
            caller.execute(() -> committed(callbacks, failure));
          });
    } catch (RejectedExecutionException e) {
      IOException failure = new IOException("the disk's queue is full", e);
      caller.execute(() -> committed(callbacks, Optional.of(failure)));
    }
  }

  /** On the disk executor. */
  private Optional<IOException> write(List<byte[]> batch, Optional<List<byte[]>> compacted) {
    try {
      if (compacted.isPresent()) {
        log.compact(compacted.get());
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

  private void committed(
      List<Consumer<Optional<IOException>>> callbacks, Optional<IOException> failure) {
    commitInProgress = false;
    commits++;
    callbacks.forEach(callback -> callback.accept(failure));
    commitQueued();
  }
}
