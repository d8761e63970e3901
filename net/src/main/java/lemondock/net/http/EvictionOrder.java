package lemondock.net.http;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The connections of a server on which no client is owed a response, in the order in which they
 * make room for new ones: those that close after an error, those that have been unused for a while,
 * those with an incomplete request, and last those that became unused just now, whose request may
 * be about to be read. A connection with a complete request that has no complete response is never
 * among them. Loop thread only.
 */
final class EvictionOrder {
  /** Time for which a connection without a request is kept rather than an incomplete request. */
  private static final long FRESH_MICROS = 250_000;

  /** What a connection is kept for. */
  enum Claim {
    /** Its input was invalid or late; the error response is sent and the client has not closed. */
    CLOSING_AFTER_ERROR,
    /** No request has begun. */
    UNUSED,
    /** A request has begun and is not complete. */
    INCOMPLETE_REQUEST
  }

  /** A connection that makes room. */
  record Candidate(ServerConnection connection, Claim claim) {}

  /** For each claim the connections and since when they have it, the earliest first. */
  private final Map<Claim, Map<ServerConnection, Long>> sinceMicros = new EnumMap<>(Claim.class);

  EvictionOrder() {
    for (Claim claim : Claim.values()) {
      sinceMicros.put(claim, new LinkedHashMap<>());
    }
  }

  /** Sets the claim of a connection; if it has that claim already, it keeps its place. */
  void set(ServerConnection connection, Claim claim, long nowMicros) {
    sinceMicros.forEach(
        (other, connections) -> {
          if (other != claim) {
            connections.remove(connection);
          }
        });
    sinceMicros.get(claim).putIfAbsent(connection, nowMicros);
  }

  /** Removes a connection: it is closed, or its client is owed a response. */
  void remove(ServerConnection connection) {
    sinceMicros.values().forEach(connections -> connections.remove(connection));
  }

  /** Removes and returns the next connection to make room; empty if there is none. */
  Optional<Candidate> poll(long nowMicros) {
    return poll(Claim.CLOSING_AFTER_ERROR, nowMicros)
        .or(() -> poll(Claim.UNUSED, nowMicros - FRESH_MICROS))
        .or(() -> poll(Claim.INCOMPLETE_REQUEST, nowMicros))
        .or(() -> poll(Claim.UNUSED, nowMicros));
  }

  /** Takes the connection that has had the claim longest, if it had it at the latest then. */
  private Optional<Candidate> poll(Claim claim, long latestMicros) {
    Iterator<Map.Entry<ServerConnection, Long>> entries =
        sinceMicros.get(claim).entrySet().iterator();
    if (!entries.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<ServerConnection, Long> first = entries.next();
    if (first.getValue() > latestMicros) {
      return Optional.empty();
    }
    entries.remove();
    return Optional.of(new Candidate(first.getKey(), claim));
  }

  /** Number of connections. */
  int size() {
    return sinceMicros.values().stream().mapToInt(Map::size).sum();
  }

  /** The connections without a request. */
  List<ServerConnection> unused() {
    Set<ServerConnection> connections = sinceMicros.get(Claim.UNUSED).keySet();
    return List.copyOf(connections);
  }
}
