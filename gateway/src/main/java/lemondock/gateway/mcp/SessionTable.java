package lemondock.gateway.mcp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * The open sessions. Their number is bounded by {@code front.maxSessions}; a session that is idle
 * for longer than {@code front.sessionIdleMs} is ended. Loop thread only.
 */
final class SessionTable {
  private static final long IDLE_SWEEP_INTERVAL_MICROS = 1_000_000;

  private final Loop loop;
  private final Supplier<String> sessionIds;
  private final int maxSessions;
  private final long maxIdleMicros;
  private final Map<String, McpSession> sessions = new HashMap<>();

  /**
   * Makes an empty table.
   *
   * @param sessionIds gives ids that cannot be guessed, each once
   */
  SessionTable(Loop loop, GatewaySettings.Front settings, Supplier<String> sessionIds) {
    this.loop = loop;
    this.sessionIds = sessionIds;
    this.maxSessions = settings.maxSessions();
    this.maxIdleMicros = GatewaySettings.micros(settings.sessionIdleMs());
  }

  /** Begins to end idle sessions, once a second. */
  void startExpiry() {
    loop.schedule(
        IDLE_SWEEP_INTERVAL_MICROS,
        () -> {
          endIdleSessions();
          startExpiry();
        });
  }

  private void endIdleSessions() {
    long now = loop.now();
    for (McpSession session : List.copyOf(sessions.values())) {
      if (session.isIdleLongerThan(maxIdleMicros, now)) {
        end(session, "the session was idle");
      }
    }
  }

  /** Whether no further session may be opened. */
  boolean isFull() {
    return sessions.size() >= maxSessions;
  }

  /** Opens a session that speaks a version of the protocol. */
  McpSession open(String version) {
    McpSession session = new McpSession(sessionIds.get(), version, loop.now());
    sessions.put(session.id(), session);
    return session;
  }

  /** The session of that id, which counts as used now. */
  Optional<McpSession> use(String id) {
    Optional<McpSession> session = Optional.ofNullable(sessions.get(id));
    session.ifPresent(found -> found.markUsed(loop.now()));
    return session;
  }

  /** Ends a session: its calls are cancelled and its streams closed. */
  void end(McpSession session, String reason) {
    sessions.remove(session.id());
    session.end(reason);
  }

  /** Ends all sessions. */
  void endAll(String reason) {
    List.copyOf(sessions.values()).forEach(session -> end(session, reason));
  }

  /** Number of open sessions. */
  int size() {
    return sessions.size();
  }

  /** Event streams of calls, those that wait for their client to reconnect among them. */
  int streamCount() {
    return sessions.values().stream().mapToInt(McpSession::streamCount).sum();
  }
}
