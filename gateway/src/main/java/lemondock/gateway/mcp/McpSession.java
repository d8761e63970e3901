package lemondock.gateway.mcp;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondock.gateway.core.ClientCall;

/**
 * One client's session: its version, its calls and streams, and the tool calls that it was sent.
 * Loop thread only.
 */
final class McpSession {
  private static final int MAX_EARLY_CANCELLATIONS = 64;
  private static final long EARLY_CANCELLATION_TTL_MICROS = 2_000_000;

  private final String id;
  private final String version;

  /** Calls in flight by the JSON text of their ids, so that 1 and "1" differ. */
  private final Map<String, McpCall> calls = new HashMap<>();

  /** Relayed tool calls that wait for the client's response, by the id they were sent under. */
  private final Map<String, RelayedToolCall> relayedToolCalls = new HashMap<>();

  /** Event streams of calls by their number. */
  private final Map<Long, ResumableEventStream> streams = new HashMap<>();

  /**
   * Ids cancelled while no call of theirs was in flight, and when: a call may still wait to be
   * read.
   */
  private final LinkedHashMap<String, Long> earlyCancellations = new LinkedHashMap<>();

  /** The stream for messages outside of any call, if the client has opened one. */
  private Optional<ResumableEventStream> serverStream = Optional.empty();

  private long lastUsedMicros;
  private long nextStreamNumber = 1;
  private long nextRelayNumber = 1;
  private long nextCallNumber = 1;
  private boolean ended;

  /** A tool call that was sent to the client, and the call whose answer needs its result. */
  record RelayedToolCall(ClientCall call, String toolCallId) {}

  McpSession(String id, String version, long nowMicros) {
    this.id = id;
    this.version = version;
    this.lastUsedMicros = nowMicros;
  }

  String id() {
    return id;
  }

  /** The version of the protocol that was negotiated. */
  String version() {
    return version;
  }

  boolean hasEnded() {
    return ended;
  }

  void markUsed(long nowMicros) {
    lastUsedMicros = nowMicros;
  }

  /** Whether nothing is open and the last request came more than so many microseconds ago. */
  boolean isIdleLongerThan(long micros, long nowMicros) {
    return calls.isEmpty()
        && streams.isEmpty()
        && serverStream.isEmpty()
        && nowMicros - lastUsedMicros > micros;
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

  /** The call in flight under that key, see {@link McpCall#key}. */
  Optional<McpCall> call(String key) {
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

  /** A name for one more call, unique over all sessions. */
  String nextCallName() {
    return id + "/" + nextCallNumber++;
  }

  /**
   * The client cancelled a call that is not in flight: it has ended, never was, or its request
   * waits to be read.
   */
  void cancelledEarly(String key, long nowMicros) {
    earlyCancellations.put(key, nowMicros);
    if (earlyCancellations.size() > MAX_EARLY_CANCELLATIONS) {
      earlyCancellations.remove(earlyCancellations.keySet().iterator().next());
    }
  }

  /** Whether a call that begins was cancelled a moment ago; the cancellation is forgotten. */
  boolean takeEarlyCancellation(String key, long nowMicros) {
    Long cancelledAtMicros = earlyCancellations.remove(key);
    return cancelledAtMicros != null
        && nowMicros - cancelledAtMicros < EARLY_CANCELLATION_TTL_MICROS;
  }

  // Tool calls that the client runs.

  /** Keeps a tool call until its result comes; gives the id to send it under. */
  String addRelayedToolCall(RelayedToolCall toolCall) {
    String relayId = "relay-" + nextRelayNumber++;
    relayedToolCalls.put(relayId, toolCall);
    return relayId;
  }

  /** Removes the tool call that was sent under that id, if it still waits for its result. */
  Optional<RelayedToolCall> takeRelayedToolCall(String relayId) {
    return Optional.ofNullable(relayedToolCalls.remove(relayId));
  }

  // Event streams.

  /** The number of the next stream of calls; they start at 1. */
  long nextStreamNumber() {
    return nextStreamNumber++;
  }

  Optional<ResumableEventStream> stream(long number) {
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

  /** Makes a stream the one for messages outside of any call; closes the one before. */
  void replaceServerStream(ResumableEventStream stream) {
    serverStream.ifPresent(ResumableEventStream::close);
    serverStream = Optional.of(stream);
  }

  /** The stream is over; does nothing if another has taken its place. */
  void serverStreamClosed(ResumableEventStream stream) {
    if (serverStream.isPresent() && serverStream.get() == stream) {
      serverStream = Optional.empty();
    }
  }
}
