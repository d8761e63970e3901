package lemondock.gateway.core;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.AppendLog;
import lemondock.idempotency.FileSystemPort;
import lemondock.idempotency.GroupCommit;
import lemondock.idempotency.IdempotencyStore;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps calls that must not run twice from doing so over a gateway's death: what they did is
 * durable before they do it. {@link IdempotencyStore} decides; this puts its records on disk and
 * its word into calls. Loop thread only, but for {@link #open}.
 */
public final class IdempotencyGuard {
  private static final Logger LOG = LoggerFactory.getLogger(IdempotencyGuard.class);
  private static final long MICROS_PER_MILLI = 1_000;

  private final Loop loop;
  private final IdempotencyStore book;
  private final GroupCommit committer;
  private final long patience;
  private boolean failing;

  private IdempotencyGuard(Loop loop, IdempotencyStore book, GroupCommit committer, long patience) {
    this.loop = loop;
    this.book = book;
    this.committer = committer;
    this.patience = patience;
  }

  /**
   * Reads what is known from earlier lives; call it off the loop.
   *
   * @throws IOException names the file and what is wrong with it
   */
  public static IdempotencyGuard open(
      FileSystemPort files, GatewaySettings.Durable settings, Loop loop, Executor disk)
      throws IOException {
    IdempotencyStore book =
        new IdempotencyStore(
            new IdempotencyStore.Settings(settings.mostCalls(), (long) settings.keepMs()),
            millis(loop));
    AppendLog log = new AppendLog(files);
    AppendLog.Found found = log.open(book::replay);
    LOG.atInfo()
        .addKeyValue("file", found.file())
        .addKeyValue("records", found.records())
        .addKeyValue("dropped", found.dropped())
        .addKeyValue("calls", book.size())
        .log("book of calls");
    GroupCommit committer =
        new GroupCommit(
            log,
            loop,
            disk,
            new GroupCommit.Settings(settings.mostWaiting(), settings.mostBytes()),
            () -> book.snapshot(millis(loop)));
    return new IdempotencyGuard(loop, book, committer, GatewaySettings.micros(settings.waitMs()));
  }

  /**
   * The book's clock: the wall clock may step, and a step forward would let a call run a second
   * time.
   */
  private static long millis(Loop loop) {
    return loop.now() / MICROS_PER_MILLI;
  }

  /** What became of the call under that key. */
  public IdempotencyStore.Fate fate(String key) {
    return book.fate(key, millis(loop));
  }

  /** Tool calls that were relayed for it. */
  public List<IdempotencyStore.Relayed> relayed(String key) {
    return book.relayed(key);
  }

  /** A tool call is to be relayed; {@code then} hears the same. */
  void relayed(String key, String id, String tool, Consumer<Boolean> then) {
    durable(book.relayed(key, id, tool), then);
  }

  /**
   * A call is taken; {@code then} hears once whether that is durable, at the latest when the time
   * for it is over.
   */
  void taken(String key, Consumer<Boolean> then) {
    durable(book.taken(key, millis(loop)), then);
  }

  /** Its result came. */
  void answered(String key, String id) {
    later(book.answered(key, id));
  }

  /** The call has ended. */
  void ended(String key, IdempotencyStore.Fate fate) {
    later(book.ended(key, fate));
  }

  private void durable(byte[] record, Consumer<Boolean> then) {
    boolean[] told = {false};
    Loop.Timer limit =
        loop.schedule(
            patience,
            () -> {
              if (!told[0]) {
                told[0] = true;
                noted(
                    new IOException(
                        "the disk took longer than " + patience / MICROS_PER_MILLI + " ms"));
                then.accept(false);
              }
            });
    committer.append(
        record,
        failure -> {
          limit.cancel();
          noted(failure);
          if (!told[0]) {
            told[0] = true;
            then.accept(failure == null);
          }
        });
  }

  /** What is only lost with the answer to a later question: without it the book says the worse. */
  private void later(byte[] record) {
    committer.append(record, this::noted);
  }

  private void noted(IOException failure) {
    if (failing != (failure != null)) {
      failing = failure != null;
      if (failing) {
        LOG.atWarn()
            .addKeyValue("why", failure.getMessage())
            .log("the book of calls cannot be written; calls that it guards are" + " refused");
      } else {
        LOG.atInfo().log("the book of calls is written again");
      }
    }
  }
}
