package lemondock.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Sticky sessions and cached prefixes: which server last read each session, and which servers have
 * recently read each prefix. Entries expire when they have not been used for {@link #TTL_MICROS}; a
 * periodic call of {@link #reap} evicts them.
 */
final class SessionTable {
  /** Time after its last use at which a session's entry or a known prefix expires. */
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
   * Records that the server has read the request's prompt. Called only after a successful read, so
   * that a silent server does not keep its sessions.
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

  /** Evicts the sessions and prefixes that have expired. */
  void reap() {
    long oldestMicros = clock.nowMicros() - TTL_MICROS;
    sessions.values().removeIf(entry -> entry.usedAtMicros() < oldestMicros);
    servers.all().forEach(server -> server.evictPrefixesUsedBefore(oldestMicros));
  }
}
