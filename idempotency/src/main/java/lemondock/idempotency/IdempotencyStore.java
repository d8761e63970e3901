package lemondock.idempotency;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The status of calls that must not run twice, by the idempotency keys that their clients gave
 * them. A call is in the store before anything of it is sent anywhere, so one that is there without
 * an end may have run, whatever else was lost. The store decides whether a call that comes under a
 * known key may run. Each change is also a record, and replaying the records restores the store.
 * Does no I/O and reads no clock; one thread.
 */
public final class IdempotencyStore {
  /** Bounds what a call takes in memory and in a snapshot; further tool calls are not kept. */
  private static final int MAX_RELAYED_TOOL_CALLS = 256;

  /** A longer age is a wall-clock time in milliseconds, which records of earlier versions have. */
  private static final long LONGEST_AGE_MILLIS = 1_000_000_000_000L;

  private final Settings settings;
  private final long createdAtMillis;

  /** By the start of the calls, the oldest first. */
  private final Map<String, StoredCall> calls = new LinkedHashMap<>();

  /**
   * How much is remembered.
   *
   * @param maxCalls how many calls
   * @param retentionMillis how long an ended call is remembered, and one without an end that an
   *     earlier process has started; both counted from the start of the call
   */
  public record Settings(int maxCalls, long retentionMillis) {}

  private static final class StoredCall {
    private final long startedAtMillis;
    private final boolean startedHere;
    private CallStatus status;
    private final Map<String, RelayedToolCall> toolCalls = new LinkedHashMap<>();

    StoredCall(long startedAtMillis, boolean startedHere) {
      this.startedAtMillis = startedAtMillis;
      this.startedHere = startedHere;
      this.status = startedHere ? CallStatus.IN_PROGRESS : CallStatus.MAY_HAVE_RUN;
    }

    /** Whether a record of the start without one of the end says the same. */
    boolean isSaidByItsStart() {
      return status == CallStatus.IN_PROGRESS || status == CallStatus.MAY_HAVE_RUN && !startedHere;
    }
  }

  /** An empty store whose clock starts at 0. */
  public IdempotencyStore(Settings settings) {
    this(settings, 0);
  }

  /**
   * An empty store.
   *
   * @param nowMillis a clock that neither goes back nor steps, and may start anywhere in each
   *     process. Time between two processes does not count: what an earlier process has recorded is
   *     remembered longer, never shorter, than the settings say
   */
  public IdempotencyStore(Settings settings, long nowMillis) {
    this.settings = settings;
    this.createdAtMillis = nowMillis;
  }

  /** The status of the call under that key; {@code nowMillis} is the store's clock. */
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
   * Removes expired calls, or else the oldest that never ran: forgetting that one loses nothing.
   */
  private boolean makeRoom(long nowMillis) {
    removeExpired(nowMillis);
    return calls.size() < settings.maxCalls() || removeOldestThatNeverRan();
  }

  private boolean removeOldestThatNeverRan() {
    for (Iterator<StoredCall> oldestFirst = calls.values().iterator(); oldestFirst.hasNext(); ) {
      if (oldestFirst.next().status == CallStatus.NEVER_RAN) {
        oldestFirst.remove();
        return true;
      }
    }
    return false;
  }

  /** The tool calls that were relayed for the call under that key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    StoredCall call = calls.get(key);
    return call == null ? List.of() : List.copyOf(call.toolCalls.values());
  }

  /** Number of calls in the store. */
  public int size() {
    return calls.size();
  }

  // Changes; each returns its record.

  /**
   * A call starts; its record must be durable before anything of the call is sent.
   *
   * @throws IllegalStateException if the call may not run
   */
  public byte[] callStarted(String key, long nowMillis) {
    if (!status(key, nowMillis).mayRun()) {
      throw new IllegalStateException("the call " + key + " may not run");
    }
    put(key, new StoredCall(nowMillis, true));
    return new CallRecord.Started(key, 0).encode();
  }

  private void put(String key, StoredCall call) {
    calls.remove(key); // a retry is as young as its own start
    calls.put(key, call);
  }

  /** A tool call is to be relayed; its record must be durable before it is. */
  public byte[] toolCallRelayed(String key, String id, String tool) {
    return apply(new CallRecord.ToolCallRelayed(key, id, tool)).encode();
  }

  /** The result of a relayed tool call has come. */
  public byte[] toolCallAnswered(String key, String id) {
    return apply(new CallRecord.ToolCallAnswered(key, id)).encode();
  }

  /**
   * The call has ended.
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

  // Records of earlier processes, and for later ones.

  /**
   * Applies a record of an earlier process; in their order they restore the store, but that no call
   * is in progress any more.
   *
   * @throws InvalidRecordException if it is none: the log holds something else, or that of a later
   *     version
   */
  public void replay(ByteBuffer bytes) {
    CallRecord record = CallRecord.decode(bytes);
    if (record instanceof CallRecord.Started started) {
      long ageMillis = started.ageMillis() < LONGEST_AGE_MILLIS ? started.ageMillis() : 0;
      put(started.key(), new StoredCall(createdAtMillis - ageMillis, false));
    } else if (record instanceof CallRecord.ToolCallRelayed relayed) {
      apply(relayed);
    } else if (record instanceof CallRecord.ToolCallAnswered answered) {
      apply(answered);
    } else if (record instanceof CallRecord.Ended ended) {
      apply(ended);
    }
  }

  /** All records that restore the store, for a compacted log to begin with. */
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
    if (!call.isSaidByItsStart()) {
      records.add(new CallRecord.Ended(key, call.status).encode());
    }
  }
}
