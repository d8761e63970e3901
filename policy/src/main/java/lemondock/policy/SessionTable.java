package lemondock.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sticky sessions and cached prefixes: where each was read last. Entries live for a sliding time; a
 * round of the reaper drops the idle ones.
 */
final class SessionTable {
  /** Idle life of a session's entry, and of a known prefix. */
  static final long TTL_MICROS = 60_000_000L;

  private final ServerTable servers;
  private final DecisionClock clock;
  private final Map<Long, SessionEntry> sessions = new HashMap<>();

  SessionTable(ServerTable servers, DecisionClock clock) {
    this.servers = servers;
    this.clock = clock;
  }

  Optional<SessionEntry> find(long sessionId) {
    return Optional.ofNullable(sessions.get(sessionId));
  }

  /**
   * The server has read the request's prompt. Called only after a read that succeeded, so that a
   * silent server does not keep its sessions.
   */
  void recordRead(RoutingRequest request, ServerState server) {
    long now = clock.nowMicros();
    if (request.sessionId() != 0) {
      SessionEntry entry = new SessionEntry(server.id(), request.promptTokens(), now);
      sessions.put(request.sessionId(), entry);
    }
    if (request.prefixId() != 0) {
      server.recordPrefix(request.prefixId(), now);
    }
  }

  /** Drops what has been idle for too long. */
  void reap() {
    long oldestMicros = clock.nowMicros() - TTL_MICROS;
    sessions.values().removeIf(entry -> entry.usedAtMicros() < oldestMicros);
    servers.all().forEach(server -> server.forgetPrefixesUsedBefore(oldestMicros));
  }
}
