package lemondock.gateway.core;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.AppendLog;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.FileSystemPort;
import lemondock.idempotency.GroupCommit;
import lemondock.idempotency.IdempotencyStore;
import lemondock.idempotency.RelayedToolCall;
import lemondock.net.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps calls that must not run twice from doing so, also over a crash of the gateway: what they do
 * is durable before they do it. {@link IdempotencyStore} decides; this writes its records to the
 * log and tells the calls what is durable. Loop thread only, but for {@link #open}.
 */
public final class IdempotencyGuard {
  private static final Logger LOG = LoggerFactory.getLogger(IdempotencyGuard.class);
  private static final long MICROS_PER_MILLI = 1_000;

  private final Loop loop;
  private final IdempotencyStore store;
  private final GroupCommit groupCommit;
  private final long commitTimeoutMicros;
  private boolean logFailing;

  private IdempotencyGuard(
      Loop loop, IdempotencyStore store, GroupCommit groupCommit, long commitTimeoutMicros) {
    this.loop = loop;
    this.store = store;
    this.groupCommit = groupCommit;
    this.commitTimeoutMicros = commitTimeoutMicros;
  }

  /**
   * Restores what earlier processes have recorded; blocks, so it is called off the loop.
   *
   * @throws IOException names the file and what is wrong with it
   */
  public static IdempotencyGuard open(
      FileSystemPort files, GatewaySettings.Durable settings, Loop loop, Executor disk)
      throws IOException {
    IdempotencyStore store =
        new IdempotencyStore(
            new IdempotencyStore.Settings(settings.mostCalls(), (long) settings.keepMs()),
            nowMillis(loop));
    AppendLog log = new AppendLog(files);
    AppendLog.OpenResult opened = log.open(store::replay);
    LOG.atInfo()
        .addKeyValue("file", opened.file())
        .addKeyValue("records", opened.records())
        .addKeyValue("dropped", opened.truncatedBytes())
        .addKeyValue("calls", store.size())
        .log("idempotency log opened");
    GroupCommit groupCommit =
        new GroupCommit(
            log,
            loop,
            disk,
            new GroupCommit.Settings(settings.mostWaiting(), settings.mostBytes()),
            () -> store.snapshot(nowMillis(loop)));
    return new IdempotencyGuard(
        loop, store, groupCommit, GatewaySettings.micros(settings.waitMs()));
  }

  /**
   * The store's clock. Not the wall clock, which may step: a step forward would let a call run a
   * second time.
   */
  private static long nowMillis(Loop loop) {
    return loop.now() / MICROS_PER_MILLI;
  }

  /** The status of the call under that key. */
  public CallStatus status(String key) {
    return store.status(key, nowMillis(loop));
  }

  /** The tool calls that were relayed for the call under that key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    return store.relayedToolCalls(key);
  }

  /**
   * A call starts; the callback hears once whether that is durable, at the latest when the time for
   * a commit is over.
   */
  void callStarted(String key, Consumer<Boolean> whenDurable) {
    commitInTime(store.callStarted(key, nowMillis(loop)), whenDurable);
  }

  /** A tool call is to be relayed; the callback hears the same. */
  void toolCallRelayed(String key, String id, String tool, Consumer<Boolean> whenDurable) {
    commitInTime(store.toolCallRelayed(key, id, tool), whenDurable);
  }

  /** The result of a relayed tool call has come. */
  void toolCallAnswered(String key, String id) {
    commit(store.toolCallAnswered(key, id));
  }

  /** The call has ended. */
  void callEnded(String key, CallStatus status) {
    commit(store.callEnded(key, status));
  }

  private void commitInTime(byte[] record, Consumer<Boolean> whenDurable) {
    PendingCommit pending = new PendingCommit(whenDurable);
    pending.timeout = loop.schedule(commitTimeoutMicros, pending::timedOut);
    groupCommit.append(record, pending::committed);
  }

  /** A commit that somebody waits for, who hears of it once. Loop thread only. */
  private final class PendingCommit {
    private final Consumer<Boolean> whenDurable;
    private Loop.Timer timeout;
    private boolean answered;

    PendingCommit(Consumer<Boolean> whenDurable) {
      this.whenDurable = whenDurable;
    }

    void timedOut() {
      if (!answered) {
        answered = true;
        long timeoutMillis = commitTimeoutMicros / MICROS_PER_MILLI;
        logChangeOf(
            Optional.of(new IOException("the disk took longer than " + timeoutMillis + " ms")));
        whenDurable.accept(false);
      }
    }

    void committed(Optional<IOException> failure) {
      timeout.cancel();
      logChangeOf(failure);
      if (!answered) {
        answered = true;
        whenDurable.accept(failure.isEmpty());
      }
    }
  }

  /** For records whose loss is harmless: without them the store assumes that the call ran. */
  private void commit(byte[] record) {
    groupCommit.append(record, this::logChangeOf);
  }

  private void logChangeOf(Optional<IOException> failure) {
    if (logFailing == failure.isPresent()) {
      return;
    }
    logFailing = failure.isPresent();
    if (failure.isPresent()) {
      LOG.atWarn()
          .addKeyValue("why", failure.get().getMessage())
          .log("the idempotency log cannot be written; calls with a key are rejected");
    } else {
      LOG.atInfo().log("the idempotency log is written again");
    }
  }
}
