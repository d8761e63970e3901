package lemondock.gateway.mcp;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondock.gateway.core.ClientCall;

/**
 * The session of one client: its protocol version, its calls and event streams, and the tool calls
 * relayed to it. Loop thread only.
 */
final class McpSession {
  private static final int MAX_EARLY_CANCELLATIONS = 64;
  private static final long EARLY_CANCELLATION_TTL_MICROS = 2_000_000;

  private final String id;
  private final String version;

  /** Calls in flight by the JSON text of their ids, so that 1 and "1" differ. */
  private final Map<String, McpCall> calls = new HashMap<>();

  /** Relayed tool calls that wait for the client's response, by relay id. */
  private final Map<String, RelayedToolCall> relayedToolCalls = new HashMap<>();

  /** Event streams of calls, by stream number. */
  private final Map<Long, ResumableEventStream> streams = new HashMap<>();

  /**
   * Times, in microseconds, of cancellations for which no call was in flight, by call id. The
   * request of such a call may not have been parsed yet.
   */
  private final LinkedHashMap<String, Long> earlyCancellations = new LinkedHashMap<>();

  /** The stream for messages that belong to no call, if the client has opened one. */
  private Optional<ResumableEventStream> serverStream = Optional.empty();

  private long lastUsedMicros;
  private long nextStreamNumber = 1;
  private long nextRelayNumber = 1;
  private long nextCallNumber = 1;
  private boolean ended;

  /** A tool call that was sent to the client, and the client call that waits for its result. */
  record RelayedToolCall(ClientCall call, String toolCallId) {}

  McpSession(String id, String version, long nowMicros) {
    this.id = id;
    this.version = version;
    this.lastUsedMicros = nowMicros;
  }

  String id() {
    return id;
  }

  /** Returns the negotiated version of the protocol. */
  String version() {
    return version;
  }

  boolean hasEnded() {
    return ended;
  }

  void markUsed(long nowMicros) {
    lastUsedMicros = nowMicros;
  }

  /**
   * Returns whether no call or stream is open and the last request arrived more than {@code
   * maxIdleMicros} ago.
   */
  boolean isIdleLongerThan(long maxIdleMicros, long nowMicros) {
    return calls.isEmpty()
        && streams.isEmpty()
        && serverStream.isEmpty()
        && nowMicros - lastUsedMicros > maxIdleMicros;
  }

  /** Cancels all calls and closes all streams. */
  void end(String reason) {
    ended = true;
    for (McpCall call : List.copyOf(calls.values())) {
      call.call().cancel(reason);
    }
    calls.clear();
    relayedToolCalls.clear();
    List.copyOf(streams.values()).forEach(ResumableEventStream::close);
    serverStream.ifPresent(ResumableEventStream::close);
  }

  // Calls.

  /** Returns the call in flight with that {@link McpCall#key}. */
  Optional<McpCall> findCall(String key) {
    return Optional.ofNullable(calls.get(key));
  }

  int callCount() {
    return calls.size();
  }

  void addCall(McpCall call) {
    calls.put(call.key(), call);
  }

  void removeCall(McpCall call) {
    calls.remove(call.key(), call);
  }

  /** Returns a name for the next call, unique across all sessions. */
  String nextCallName() {
    return id + "/" + nextCallNumber++;
  }

  /**
   * Records that the client cancelled a call that is not in flight: the call has ended, never
   * existed, or its request has not been parsed yet.
   */
  void recordEarlyCancellation(String key, long nowMicros) {
    earlyCancellations.put(key, nowMicros);
    if (earlyCancellations.size() > MAX_EARLY_CANCELLATIONS) {
      earlyCancellations.remove(earlyCancellations.keySet().iterator().next());
    }
  }

  /**
   * Returns whether a call that is about to start was cancelled recently, and removes the
   * cancellation.
   */
  boolean removeEarlyCancellation(String key, long nowMicros) {
    Long cancelledAtMicros = earlyCancellations.remove(key);
    return cancelledAtMicros != null
        && nowMicros - cancelledAtMicros < EARLY_CANCELLATION_TTL_MICROS;
  }

  // Relayed tool calls, which the client runs.

  /** Stores a tool call until its result arrives; returns the id to send it under. */
  String addRelayedToolCall(RelayedToolCall toolCall) {
    String relayId = "relay-" + nextRelayNumber++;
    relayedToolCalls.put(relayId, toolCall);
    return relayId;
  }

  /** Removes and returns the tool call with that relay id, if it still waits for its result. */
  Optional<RelayedToolCall> removeRelayedToolCall(String relayId) {
    return Optional.ofNullable(relayedToolCalls.remove(relayId));
  }

  // Event streams.

  /** Allocates the number of a new event stream of calls; the first is 1. */
  long nextStreamNumber() {
    return nextStreamNumber++;
  }

  Optional<ResumableEventStream> findStream(long number) {
    return Optional.ofNullable(streams.get(number));
  }

  int streamCount() {
    return streams.size();
  }

  void addStream(ResumableEventStream stream) {
    streams.put(stream.number(), stream);
  }

  void removeStream(ResumableEventStream stream) {
    streams.remove(stream.number(), stream);
  }

  /** Sets the stream for messages that belong to no call; closes the previous one. */
  void replaceServerStream(ResumableEventStream stream) {
    serverStream.ifPresent(ResumableEventStream::close);
    serverStream = Optional.of(stream);
  }

  /** Removes the stream once it is closed; does nothing if another has replaced it. */
  void removeServerStream(ResumableEventStream stream) {
    if (serverStream.isPresent() && serverStream.get() == stream) {
      serverStream = Optional.empty();
    }
  }
}
