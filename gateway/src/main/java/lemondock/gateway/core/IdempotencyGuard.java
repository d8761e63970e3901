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
 * Prevents non-idempotent calls from running twice, also across a crash of the gateway: the start
 * of a call and each relayed tool call are recorded durably before they take effect. {@link
 * IdempotencyStore} makes the decisions; this class writes its records to the write-ahead log and
 * notifies the calls of the results. Loop thread only, except for {@link #open}.
 */
public final class IdempotencyGuard {
  private static final Logger LOG = LoggerFactory.getLogger(IdempotencyGuard.class);
  private static final long MICROS_PER_MILLI = 1_000;

  private final Loop loop;
  private final IdempotencyStore store;
  private final GroupCommit groupCommit;
  private final long commitTimeoutMicros;
  private boolean isLogFailing;

  private IdempotencyGuard(
      Loop loop, IdempotencyStore store, GroupCommit groupCommit, long commitTimeoutMicros) {
    this.loop = loop;
    this.store = store;
    this.groupCommit = groupCommit;
    this.commitTimeoutMicros = commitTimeoutMicros;
  }

  /**
   * Opens the log and replays the records of earlier processes. Blocks, so it must not be called on
   * the loop thread.
   *
   * @param disk executor that writes the log
   * @throws IOException if the log cannot be opened; the message names the file and the problem
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
   * The store's clock. It is not the wall clock, which may jump: a jump forward would expire
   * records early and let a call run a second time.
   */
  private static long nowMillis(Loop loop) {
    return loop.now() / MICROS_PER_MILLI;
  }

  /** The status of the call with an idempotency key. */
  public CallStatus status(String key) {
    return store.status(key, nowMillis(loop));
  }

  /** The tool calls that were relayed for the call with an idempotency key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    return store.relayedToolCalls(key);
  }

  /**
   * Records the start of a call. The callback is called exactly once with whether the record is
   * durable, at the latest when the commit times out.
   */
  void callStarted(String key, Consumer<Boolean> onCommitResult) {
    commitWithTimeout(store.callStarted(key, nowMillis(loop)), onCommitResult);
  }

  /** Records a tool call before it is relayed; the callback as in {@link #callStarted}. */
  void toolCallRelayed(String key, String id, String tool, Consumer<Boolean> onCommitResult) {
    commitWithTimeout(store.toolCallRelayed(key, id, tool), onCommitResult);
  }

  /** Records that the result of a relayed tool call was received. */
  void toolCallAnswered(String key, String id) {
    commit(store.toolCallAnswered(key, id));
  }

  /** Records the end of a call. */
  void callEnded(String key, CallStatus status) {
    commit(store.callEnded(key, status));
  }

  private void commitWithTimeout(byte[] record, Consumer<Boolean> onCommitResult) {
    PendingCommit pending = new PendingCommit(onCommitResult);
    pending.timeout = loop.schedule(commitTimeoutMicros, pending::timedOut);
    groupCommit.append(record, pending::committed);
  }

  /** A commit with a timeout, whose callback is called exactly once. Loop thread only. */
  private final class PendingCommit {
    private final Consumer<Boolean> onCommitResult;
    private Loop.Timer timeout;
    private boolean isReported;

    PendingCommit(Consumer<Boolean> onCommitResult) {
      this.onCommitResult = onCommitResult;
    }

    void timedOut() {
      if (!isReported) {
        isReported = true;
        long timeoutMillis = commitTimeoutMicros / MICROS_PER_MILLI;
        logFailureChange(Optional.of(new IOException("no commit within " + timeoutMillis + " ms")));
        onCommitResult.accept(false);
      }
    }

    void committed(Optional<IOException> failure) {
      timeout.cancel();
      logFailureChange(failure);
      if (!isReported) {
        isReported = true;
        onCommitResult.accept(failure.isEmpty());
      }
    }
  }

  /**
   * Appends a record whose loss is harmless: without it, the store assumes that the call ran.
   * Nothing waits for the commit.
   */
  private void commit(byte[] record) {
    groupCommit.append(record, this::logFailureChange);
  }

  private void logFailureChange(Optional<IOException> failure) {
    if (isLogFailing == failure.isPresent()) {
      return;
    }
    isLogFailing = failure.isPresent();
    if (failure.isPresent()) {
      LOG.atWarn()
          .addKeyValue("why", failure.get().getMessage())
          .log("writing the idempotency log failed; rejecting calls with an idempotency key");
    } else {
      LOG.atInfo().log("writing the idempotency log succeeds again");
    }
  }
}
