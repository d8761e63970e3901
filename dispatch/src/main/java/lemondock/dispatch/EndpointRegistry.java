package lemondock.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;

/**
 * Turns lists with names into what the module hears: numbers, changes where changes suffice, starts
 * on the module's own clock. No I/O and no clock. A server's number is a hash of its name and
 * address, so that it is the same at every gateway and in every life; the module's rendezvous hash
 * rests on that.
 */
public final class EndpointRegistry {
  private static final int MOST_GONE = 4_096;

  private final List<String> kinds;
  private final Map<String, Integer> zones = new HashMap<>();
  private final Map<String, Integer> racks = new HashMap<>();
  private final Map<Long, Listed> listed = new HashMap<>();

  /**
   * The same by the very entries that were listed: one that comes again unchanged costs no hash and
   * no comparison.
   */
  private final Map<Endpoint, Listed> listedByEntry = new IdentityHashMap<>();

  private final Map<Long, Listed> gone = new LinkedHashMap<>();
  private final ToLongFunction<Endpoint> ids;
  private final ServerStartTimes starts = new ServerStartTimes();
  private boolean told;

  /** A server as listed last, with its start on the module's clock. */
  private record Listed(Endpoint entry, ServerEntry server) {}

  /**
   * What the module is to hear of one list; {@code skipped} tells of entries that cannot be used.
   */
  public record News(EndpointListKind kind, List<ServerEntry> servers, List<String> skipped) {}

  /** Makes an empty membership for kinds of servers in the order of the settings. */
  public EndpointRegistry(List<String> kinds) {
    this(kinds, EndpointRegistry::id);
  }

  /**
   * The same where a server's number comes otherwise, as where gateways reach one server at
   * addresses of their own.
   */
  public EndpointRegistry(List<String> kinds, ToLongFunction<Endpoint> ids) {
    this.kinds = List.copyOf(kinds);
    this.ids = ids;
  }

  /**
   * A whole list has come. The first one, and a cached one, is told whole; later ones as changes,
   * which may be none.
   *
   * @param now microseconds of the module's clock
   * @param wall milliseconds since the epoch at that moment
   */
  public News update(List<Endpoint> entries, boolean cached, long now, long wall) {
    starts.clock(now, wall);
    List<String> skipped = new ArrayList<>();
    Map<Long, Listed> next = new LinkedHashMap<>();
    for (Endpoint entry : entries) {
      Listed unchanged = listedByEntry.get(entry);
      if (unchanged != null && next.putIfAbsent(unchanged.server().id(), unchanged) == null) {
        continue;
      }
      int kind = kinds.indexOf(entry.kind());
      if (kind < 0) {
        skipped.add(entry.name() + ": kind " + entry.kind() + " is not in the settings");
      } else if (entry.standing() != ServerLifecycle.GONE) {
        long id = ids.applyAsLong(entry);
        if (next.put(id, listed(id, kind, entry)) != null) {
          skipped.add(entry.name() + ": listed twice under " + entry.address());
        }
      }
    }
    boolean whole = cached || !told;
    List<ServerEntry> servers = new ArrayList<>();
    next.forEach(
        (id, current) -> {
          Listed before = listed.get(id);
          if (whole
              || before == null
              || before != current && !before.server().equals(current.server())) {
            servers.add(current.server());
          }
        });
    listed.forEach(
        (id, before) -> {
          if (!next.containsKey(id)) {
            remember(id, before);
            if (!whole) {
              servers.add(standing(before.server(), ServerLifecycle.GONE));
            }
          }
        });
    listed.clear();
    listed.putAll(next);
    listedByEntry.clear();
    next.values().forEach(current -> listedByEntry.put(current.entry(), current));
    next.keySet().forEach(gone::remove);
    told |= !cached;
    if (!cached) {
      starts.heard();
    }
    return new News(
        cached
            ? EndpointListKind.CACHED
            : whole ? EndpointListKind.FULL_LIST : EndpointListKind.CHANGES,
        servers,
        skipped);
  }

  /**
   * Says that the next list is to be told whole, as after a break in which changes may have been
   * missed.
   */
  public void forgetChanges() {
    told = false;
  }

  /**
   * The server of that number, also for some time after it has left the list; null if it was never
   * listed.
   */
  public Endpoint entry(long id) {
    Listed known = listed.getOrDefault(id, gone.get(id));
    return known == null ? null : known.entry();
  }

  /** What the last list said of the server of that number; gone if it is not on it. */
  public ServerLifecycle standing(long id) {
    Listed now = listed.get(id);
    return now == null ? ServerLifecycle.GONE : now.entry().standing();
  }

  private static ServerEntry standing(ServerEntry s, ServerLifecycle standing) {
    return new ServerEntry(
        s.id(), s.zone(), s.kind(), s.cell(), standing, s.weight(), s.startedAtMicros());
  }

  /** The place in the settings of a known server's kind. */
  public int kind(long id) {
    return kinds.indexOf(entry(id).kind());
  }

  /** Servers listed now. */
  public int size() {
    return listed.size();
  }

  /** The entries listed now. */
  public List<Endpoint> entries() {
    return listed.values().stream().map(Listed::entry).toList();
  }

  /**
   * The start is put on the module's clock once and kept, also while a server is off the list: a
   * start that moves means a new process.
   */
  private Listed listed(long id, int kind, Endpoint entry) {
    Listed before = listed.getOrDefault(id, gone.get(id));
    boolean same = before != null && before.entry().startedAt() == entry.startedAt();
    long startedAt =
        same
            ? before.server().startedAtMicros()
            : starts.started(entry.startedAt(), listed.containsKey(id));
    return new Listed(
        entry,
        new ServerEntry(
            id,
            number(zones, entry.zone()),
            kind,
            number(racks, entry.zone() + "/" + entry.rack()),
            entry.standing(),
            entry.weight(),
            startedAt));
  }

  private void remember(long id, Listed before) {
    gone.put(id, before);
    if (gone.size() > MOST_GONE) {
      gone.remove(gone.keySet().iterator().next());
    }
  }

  private static int number(Map<String, Integer> numbers, String name) {
    return numbers.computeIfAbsent(name, n -> numbers.size());
  }

  private static long id(Endpoint entry) {
    return hash(
        entry.name() + "@" + entry.address().getHostString() + ":" + entry.address().getPort());
  }

  /** A number that hardly any two texts share, the same everywhere and never 0. */
  public static long hash(String text) {
    try {
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      return Math.max(1, ByteBuffer.wrap(digest).getLong() & Long.MAX_VALUE);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}
