package lemondock.idempotency;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the status of calls that must not run twice, by the idempotency keys that their clients
 * gave them. A call is added to the store before anything of it is sent anywhere, so a call without
 * a recorded end may have run, whatever else was lost. The store decides whether a call with a
 * known key may run. Each change is also a record, and replaying the records restores the store.
 * Does no I/O and reads no clock; one thread.
 */
public final class IdempotencyStore {
  /** Bounds the size of a call in memory and in a snapshot; further tool calls are not stored. */
  private static final int MAX_RELAYED_TOOL_CALLS = 256;

  /**
   * An age of this much or more is a wall-clock time in milliseconds, which earlier versions
   * recorded instead of an age.
   */
  private static final long WALL_CLOCK_THRESHOLD_MILLIS = 1_000_000_000_000L;

  private final Settings settings;
  private final long createdAtMillis;

  /** In the order in which the calls started, the oldest first. */
  private final Map<String, StoredCall> calls = new LinkedHashMap<>();

  /**
   * How many calls are remembered and for how long.
   *
   * @param maxCalls maximum number of calls in the store
   * @param retentionMillis how long a call is remembered, counted from its start; a call in
   *     progress at this gateway is kept until it ends
   */
  public record Settings(int maxCalls, long retentionMillis) {}

  private static final class StoredCall {
    private final long startedAtMillis;
    private final boolean startedByThisProcess;
    private CallStatus status;
    private final Map<String, RelayedToolCall> toolCalls = new LinkedHashMap<>();

    StoredCall(long startedAtMillis, boolean startedByThisProcess) {
      this.startedAtMillis = startedAtMillis;
      this.startedByThisProcess = startedByThisProcess;
      this.status = startedByThisProcess ? CallStatus.IN_PROGRESS : CallStatus.MAY_HAVE_RUN;
    }

    /** Whether the record of the start suffices to restore the status, without one of the end. */
    boolean isImpliedByStartRecord() {
      return status == CallStatus.IN_PROGRESS
          || status == CallStatus.MAY_HAVE_RUN && !startedByThisProcess;
    }
  }

  /** Creates an empty store whose clock starts at 0. */
  public IdempotencyStore(Settings settings) {
    this(settings, 0);
  }

  /**
   * Creates an empty store.
   *
   * @param nowMillis time of a monotonic clock, whose origin may differ between processes. Time
   *     between two processes does not count: calls of an earlier process are remembered longer
   *     than the settings say, never shorter
   */
  public IdempotencyStore(Settings settings, long nowMillis) {
    this.settings = settings;
    this.createdAtMillis = nowMillis;
  }

  /**
   * Returns the status of the call with a key; {@code nowMillis} is the time of the store's clock.
   * Removes the call if it has expired. If the key is unknown and the store is full, removes
   * expired calls or evicts one that never ran.
   */
  public CallStatus status(String key, long nowMillis) {
    StoredCall call = calls.get(key);
    if (call != null && isExpired(call, nowMillis)) {
      calls.remove(key);
      call = null;
    }
    if (call != null) {
      return call.status;
    }
    return calls.size() < settings.maxCalls() || makeRoom(nowMillis)
        ? CallStatus.UNKNOWN
        : CallStatus.STORE_FULL;
  }

  private boolean isExpired(StoredCall call, long nowMillis) {
    return nowMillis - call.startedAtMillis > settings.retentionMillis()
        && call.status != CallStatus.IN_PROGRESS;
  }

  private void removeExpired(long nowMillis) {
    calls.values().removeIf(call -> isExpired(call, nowMillis));
  }

  /**
   * Removes expired calls or, if there are none, the oldest call that never ran, which is safe to
   * forget. Returns whether there is room for a call.
   */
  private boolean makeRoom(long nowMillis) {
    removeExpired(nowMillis);
    return calls.size() < settings.maxCalls() || evictOldestThatNeverRan();
  }

  private boolean evictOldestThatNeverRan() {
    for (Iterator<StoredCall> oldestFirst = calls.values().iterator(); oldestFirst.hasNext(); ) {
      if (oldestFirst.next().status == CallStatus.NEVER_RAN) {
        oldestFirst.remove();
        return true;
      }
    }
    return false;
  }

  /** Returns the tool calls that were relayed for the call with a key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    StoredCall call = calls.get(key);
    return call == null ? List.of() : List.copyOf(call.toolCalls.values());
  }

  /** Number of calls in the store. */
  public int size() {
    return calls.size();
  }

  // Changes of the store; each method returns the record of its change.

  /**
   * Records the start of a call. The record must be durable before anything of the call is sent.
   *
   * @throws IllegalStateException if the call may not run
   */
  public byte[] callStarted(String key, long nowMillis) {
    if (!status(key, nowMillis).mayRun()) {
      throw new IllegalStateException("the call with idempotency key " + key + " may not run");
    }
    put(key, new StoredCall(nowMillis, true));
    return new CallRecord.Started(key, 0).encode();
  }

  private void put(String key, StoredCall call) {
    calls.remove(key); // so that a retry is ordered by its own start
    calls.put(key, call);
  }

  /** Records a tool call; the record must be durable before the tool call is relayed. */
  public byte[] toolCallRelayed(String key, String id, String tool) {
    return apply(new CallRecord.ToolCallRelayed(key, id, tool)).encode();
  }

  /** Records that the result of a relayed tool call has arrived. */
  public byte[] toolCallAnswered(String key, String id) {
    return apply(new CallRecord.ToolCallAnswered(key, id)).encode();
  }

  /**
   * Records the end of a call.
   *
   * @param status COMPLETED, NEVER_RAN or MAY_HAVE_RUN
   */
  public byte[] callEnded(String key, CallStatus status) {
    return apply(new CallRecord.Ended(key, status)).encode();
  }

  private CallRecord apply(CallRecord.ToolCallRelayed record) {
    StoredCall call = calls.get(record.key());
    if (call != null && call.toolCalls.size() < MAX_RELAYED_TOOL_CALLS) {
      call.toolCalls.put(record.id(), new RelayedToolCall(record.id(), record.tool(), false));
    }
    return record;
  }

  private CallRecord apply(CallRecord.ToolCallAnswered record) {
    StoredCall call = calls.get(record.key());
    if (call != null) {
      call.toolCalls.computeIfPresent(
          record.id(), (id, toolCall) -> new RelayedToolCall(id, toolCall.tool(), true));
    }
    return record;
  }

  private CallRecord apply(CallRecord.Ended record) {
    StoredCall call = calls.get(record.key());
    if (call != null) {
      call.status = record.status();
    }
    return record;
  }

  // Restoring from the records of earlier processes, and the snapshot for later ones.

  /**
   * Applies a record of an earlier process. Applied in their order, the records restore the store,
   * except that calls in progress become calls that may have run.
   *
   * @throws InvalidRecordException if the bytes are not a valid record, or one of a later version
   */
  public void replay(ByteBuffer bytes) {
    CallRecord record = CallRecord.decode(bytes);
    if (record instanceof CallRecord.Started started) {
      long ageMillis = started.ageMillis() < WALL_CLOCK_THRESHOLD_MILLIS ? started.ageMillis() : 0;
      put(started.key(), new StoredCall(createdAtMillis - ageMillis, false));
    } else if (record instanceof CallRecord.ToolCallRelayed relayed) {
      apply(relayed);
    } else if (record instanceof CallRecord.ToolCallAnswered answered) {
      apply(answered);
    } else if (record instanceof CallRecord.Ended ended) {
      apply(ended);
    }
  }

  /** Returns the records that restore the store, with which a compacted log starts. */
  public List<byte[]> snapshot(long nowMillis) {
    removeExpired(nowMillis);
    List<byte[]> records = new ArrayList<>();
    calls.forEach((key, call) -> addRecords(key, call, nowMillis, records));
    return records;
  }

  private static void addRecords(
      String key, StoredCall call, long nowMillis, List<byte[]> records) {
    records.add(new CallRecord.Started(key, nowMillis - call.startedAtMillis).encode());
    for (RelayedToolCall toolCall : call.toolCalls.values()) {
      records.add(new CallRecord.ToolCallRelayed(key, toolCall.id(), toolCall.tool()).encode());
      if (toolCall.answered()) {
        records.add(new CallRecord.ToolCallAnswered(key, toolCall.id()).encode());
      }
    }
    if (!call.isImpliedByStartRecord()) {
      records.add(new CallRecord.Ended(key, call.status).encode());
    }
  }
}
