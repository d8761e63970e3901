package lemondock.gateway.mcp;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.gateway.core.ClientCall;

/**
 * One client's session: its version, its calls and streams, and the tool calls that it was sent.
 */
final class McpSession {
  private static final int MAX_EARLY_CANCELLATIONS = 64;
  private static final long EARLY_CANCELLATION_TTL_MICROS = 2_000_000;
  final String id;
  final String version;

  /** Calls in flight by the JSON text of their ids, so that 1 and "1" differ. */
  final Map<String, McpCall> calls = new HashMap<>();

  /** Relayed calls that wait for the client's response, by the id they were sent under. */
  final Map<String, RelayedToolCall> relayedToolCalls = new HashMap<>();

  final Map<Long, ResumableEventStream> streams = new HashMap<>();

  /**
   * Ids cancelled while no call of theirs was in flight, and when: a call may still wait to be
   * read.
   */
  private final LinkedHashMap<String, Long> earlyCancellations = new LinkedHashMap<>();

  ResumableEventStream serverStream;
  long lastUsedMicros;
  long nextStreamNumber = 1;
  long nextRelayNumber = 1;
  long nextCallNumber = 1;
  boolean ended;

  /** A call that was sent to the client. */
  record RelayedToolCall(ClientCall call, String toolCallId) {}

  /**
   * The client cancelled a call that is not in flight: it has ended, never was, or its request
   * waits to be read.
   */
  void cancelledEarly(String key, long now) {
    earlyCancellations.put(key, now);
    if (earlyCancellations.size() > MAX_EARLY_CANCELLATIONS) {
      earlyCancellations.remove(earlyCancellations.keySet().iterator().next());
    }
  }

  /** Whether a call that begins was cancelled a moment ago. */
  boolean wasCancelled(String key, long now) {
    Long at = earlyCancellations.remove(key);
    return at != null && now - at < EARLY_CANCELLATION_TTL_MICROS;
  }

  McpSession(String id, String version, long now) {
    this.id = id;
    this.version = version;
    this.lastUsedMicros = now;
  }
}
