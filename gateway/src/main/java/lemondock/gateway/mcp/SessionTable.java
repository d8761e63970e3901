package lemondock.gateway.mcp;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * The open sessions. Their number is at most {@code front.maxSessions}; a session that is idle for
 * longer than {@code front.sessionIdleMs} is ended. Loop thread only.
 */
final class SessionTable {
  private static final long IDLE_SWEEP_INTERVAL_MICROS = 1_000_000;

  private final Loop loop;
  private final Supplier<String> sessionIdGenerator;
  private final int maxSessions;
  private final long maxIdleMicros;
  private final Map<String, McpSession> sessions = new HashMap<>();

  /**
   * Creates an empty table.
   *
   * @param sessionIdGenerator generates unique ids that cannot be guessed
   */
  SessionTable(Loop loop, GatewaySettings.Front settings, Supplier<String> sessionIdGenerator) {
    this.loop = loop;
    this.sessionIdGenerator = sessionIdGenerator;
    this.maxSessions = settings.maxSessions();
    this.maxIdleMicros = GatewaySettings.micros(settings.sessionIdleMs());
  }

  /** Starts the check for idle sessions, which runs once a second. */
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

  /** Returns whether the maximum number of sessions is open. */
  boolean isFull() {
    return sessions.size() >= maxSessions;
  }

  /** Opens a session with the given protocol version. */
  McpSession open(String version) {
    McpSession session = new McpSession(sessionIdGenerator.get(), version, loop.now());
    sessions.put(session.id(), session);
    return session;
  }

  /** Returns the session with that id and restarts its idle time. */
  Optional<McpSession> findAndMarkUsed(String id) {
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

  /** Returns the number of open sessions. */
  int size() {
    return sessions.size();
  }

  /** Returns the number of open event streams of calls, disconnected ones included. */
  int streamCount() {
    return sessions.values().stream().mapToInt(McpSession::streamCount).sum();
  }
}
