package lemondock.idempotency;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Group commit: records that come while others are written go out together next, with one sync for
 * all. Called in one context, which hears there whether a record is durable; files are written by
 * {@code disk}. What waits is bounded.
 */
public final class GroupCommit {
  private final AppendLog log;
  private final Executor context;
  private final Executor disk;
  private final Settings settings;
  private final Supplier<List<byte[]>> snapshot;
  private List<byte[]> records = new ArrayList<>();
  private List<Consumer<IOException>> waiting = new ArrayList<>();
  private boolean writing;
  private long commits;

  /** Length of the log at which it begins anew; disk's side once it runs. */
  private volatile long restartAt;

  private volatile long length;

  /**
   * How it commits.
   *
   * @param most records that wait
   * @param mostBytes of the log; when it is longer it begins anew, and again when it has doubled
   *     since
   */
  public record Settings(int most, long mostBytes) {}

  /**
   * Makes one.
   *
   * @param context where it is called and calls back
   * @param snapshot all records that a log which begins anew needs, at the moment it is called
   */
  public GroupCommit(
      AppendLog log,
      Executor context,
      Executor disk,
      Settings settings,
      Supplier<List<byte[]>> snapshot) {
    this.log = log;
    this.context = context;
    this.disk = disk;
    this.settings = settings;
    this.snapshot = snapshot;
    this.restartAt = settings.mostBytes();
  }

  /** Has a record written; {@code done} hears null once it is durable, or why it is not. */
  public void append(byte[] record, Consumer<IOException> done) {
    if (records.size() >= settings.most()) {
      context.execute(
          () ->
              done.accept(
                  new IOException("more than " + settings.most() + " records wait for the disk")));
      return;
    }
    records.add(record);
    waiting.add(done);
    write();
  }

  /** Commits so far; each is one sync. */
  public long commits() {
    return commits;
  }

  private void write() {
    if (writing || records.isEmpty()) {
      return;
    }
    writing = true;
    List<byte[]> batch = records;
    List<Consumer<IOException>> told = waiting;
    records = new ArrayList<>();
    waiting = new ArrayList<>();
    // the book has all of the batch already, so what begins anew needs none of it besides
    List<byte[]> anew = length >= restartAt ? snapshot.get() : null;
    try {
      disk.execute(
          () -> {
            IOException failure = null;
            try {
              if (anew != null) {
                log.restart(anew);
                restartAt = Math.max(settings.mostBytes(), 2 * log.length());
              } else {
                log.write(batch);
              }
              length = log.length();
            } catch (IOException | RuntimeException e) {
              failure = e instanceof IOException io ? io : new IOException(e);
            }
            IOException result = failure;
            context.execute(() -> wrote(told, result));
          });
    } catch (RejectedExecutionException e) {
      context.execute(() -> wrote(told, new IOException("too much waits for the disk", e)));
    }
  }

  private void wrote(List<Consumer<IOException>> told, IOException failure) {
    writing = false;
    commits++;
    told.forEach(t -> t.accept(failure));
    write();
  }
}
