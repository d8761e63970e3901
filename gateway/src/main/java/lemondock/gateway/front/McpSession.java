package lemondock.gateway.front;

import java.util.HashMap;
import java.util.Map;
import lemondock.gateway.core.Calls;

/** One client's session: its version, its calls and streams, and the tool calls that it was sent. */
final class McpSession {
    final String id;
    final String version;
    /** Calls under way by the JSON text of their ids, so that 1 and "1" differ. */
    final Map<String, McpCall> calls = new HashMap<>();
    /** Relayed calls that wait for the client's response, by the id they were sent under. */
    final Map<String, Relayed> relayed = new HashMap<>();
    final Map<Long, Stream> streams = new HashMap<>();
    Stream server;
    long usedAt;
    long nextStream = 1;
    long nextRelay = 1;
    long nextCall = 1;
    boolean ended;

    /** A call that was sent to the client. */
    record Relayed(Calls.Call call, String callId) { }

    McpSession(String id, String version, long now) {
        this.id = id;
        this.version = version;
        this.usedAt = now;
    }
}
