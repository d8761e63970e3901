package lemondock.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerLifecycle;

/**
 * Translates endpoint lists, which name servers, into the router's terms: numbers, only the changes
 * where these suffice, and start times on the router's clock. A server's number is a hash of its
 * name and address, so that all gateways have the same number for it, also after a restart; the
 * router's rendezvous hashing depends on that. Does no I/O and reads no clock. Loop thread only.
 */
public final class EndpointRegistry {
  private static final int MAX_REMOVED_ENDPOINTS = 4_096;

  private final List<String> kinds;
  private final ToLongFunction<Endpoint> idOf;
  private final Map<String, Integer> zoneNumbers = new HashMap<>();
  private final Map<String, Integer> rackNumbers = new HashMap<>();
  private final Map<Long, RegisteredEndpoint> listed = new HashMap<>();

  /**
   * The listed endpoints by identity: one that comes again as the same object costs neither a hash
   * nor a comparison.
   */
  private final Map<Endpoint, RegisteredEndpoint> listedByIdentity = new IdentityHashMap<>();

  /**
   * Endpoints that left the list, the one that left first first; attempts may still refer to them.
   */
  private final Map<Long, RegisteredEndpoint> removed = new LinkedHashMap<>();

  private final ServerStartTimes startTimes = new ServerStartTimes();
  private boolean fullListReported;

  /** An endpoint as last listed, and as the router was told of it. */
  private record RegisteredEndpoint(Endpoint endpoint, ServerEntry server) {}

  /** Makes an empty registry for the kinds of servers in the order of the settings. */
  public EndpointRegistry(List<String> kinds) {
    this(kinds, EndpointRegistry::hashOfNameAndAddress);
  }

  /**
   * Makes an empty registry with another numbering of servers, as where each gateway reaches a
   * server at an address of its own.
   */
  public EndpointRegistry(List<String> kinds, ToLongFunction<Endpoint> idOf) {
    this.kinds = List.copyOf(kinds);
    this.idOf = idOf;
  }

  /**
   * Takes a full list. The first one, and a cached one, is reported in full; later ones as changes,
   * of which there may be none.
   *
   * @param cached whether the list was kept from before a restart
   * @param nowMicros the router's clock
   * @param wallMillis milliseconds since the epoch at that moment
   */
  public EndpointUpdate update(
      List<Endpoint> endpoints, boolean cached, long nowMicros, long wallMillis) {
    startTimes.setClocks(nowMicros, wallMillis);
    List<String> skipped = new ArrayList<>();
    Map<Long, RegisteredEndpoint> next = registerAll(endpoints, skipped);
    boolean full = cached || !fullListReported;
    List<ServerEntry> servers = serversToReport(next, full);
    next.keySet().forEach(removed::remove);
    if (!cached) {
      fullListReported = true;
      startTimes.listReceived();
    }
    return new EndpointUpdate(kindOfUpdate(cached, full), servers, skipped);
  }

  private static EndpointListKind kindOfUpdate(boolean cached, boolean full) {
    if (cached) {
      return EndpointListKind.CACHED;
    }
    return full ? EndpointListKind.FULL_LIST : EndpointListKind.CHANGES;
  }

  private Map<Long, RegisteredEndpoint> registerAll(
      List<Endpoint> endpoints, List<String> skipped) {
    Map<Long, RegisteredEndpoint> next = new LinkedHashMap<>();
    for (Endpoint endpoint : endpoints) {
      RegisteredEndpoint unchanged = listedByIdentity.get(endpoint);
      if (unchanged != null && next.putIfAbsent(unchanged.server().id(), unchanged) == null) {
        continue;
      }
      int kind = kinds.indexOf(endpoint.kind());
      if (kind < 0) {
        skipped.add(endpoint.name() + ": kind " + endpoint.kind() + " is not in the settings");
      } else if (endpoint.lifecycle() != ServerLifecycle.GONE) {
        long id = idOf.applyAsLong(endpoint);
        if (next.put(id, register(id, kind, endpoint)) != null) {
          skipped.add(endpoint.name() + ": listed twice under " + endpoint.address());
        }
      }
    }
    return next;
  }

  /** Replaces the list and says what of it the router has to hear. */
  private List<ServerEntry> serversToReport(Map<Long, RegisteredEndpoint> next, boolean full) {
    List<ServerEntry> servers = new ArrayList<>();
    next.forEach(
        (id, current) -> {
          RegisteredEndpoint before = listed.get(id);
          if (full
              || before == null
              || before != current && !before.server().equals(current.server())) {
            servers.add(current.server());
          }
        });
    listed.forEach(
        (id, before) -> {
          if (!next.containsKey(id)) {
            rememberRemoved(id, before);
            if (!full) {
              servers.add(withLifecycle(before.server(), ServerLifecycle.GONE));
            }
          }
        });
    listed.clear();
    listed.putAll(next);
    listedByIdentity.clear();
    next.values().forEach(current -> listedByIdentity.put(current.endpoint(), current));
    return servers;
  }

  /** Reports the next list in full, as after a failure in which changes may have been missed. */
  public void requireFullUpdate() {
    fullListReported = false;
  }

  /**
   * The endpoint of that number, also for some time after it has left the list; empty if it was
   * never listed.
   */
  public Optional<Endpoint> find(long id) {
    return Optional.ofNullable(registered(id)).map(RegisteredEndpoint::endpoint);
  }

  private RegisteredEndpoint registered(long id) {
    return listed.getOrDefault(id, removed.get(id));
  }

  /** The lifecycle state that the last list gave the server; GONE if it is not listed. */
  public ServerLifecycle lifecycle(long id) {
    RegisteredEndpoint current = listed.get(id);
    return current == null ? ServerLifecycle.GONE : current.endpoint().lifecycle();
  }

  private static ServerEntry withLifecycle(ServerEntry server, ServerLifecycle lifecycle) {
    return ServerEntry.builder()
        .id(server.id())
        .zone(server.zone())
        .kind(server.kind())
        .cell(server.cell())
        .lifecycle(lifecycle)
        .weight(server.weight())
        .startedAtMicros(server.startedAtMicros())
        .build();
  }

  /** The index of an endpoint's kind in the settings. */
  public int kindIndex(Endpoint endpoint) {
    return kinds.indexOf(endpoint.kind());
  }

  /** Number of endpoints listed now. */
  public int size() {
    return listed.size();
  }

  /** The endpoints listed now. */
  public List<Endpoint> endpoints() {
    return listed.values().stream().map(RegisteredEndpoint::endpoint).toList();
  }

  /**
   * A start time is converted once and kept, also while the server is off the list: a start time
   * that changes means a new process.
   */
  private RegisteredEndpoint register(long id, int kind, Endpoint endpoint) {
    RegisteredEndpoint before = registered(id);
    boolean sameProcess =
        before != null && before.endpoint().startedAtMillis() == endpoint.startedAtMillis();
    long startedAtMicros =
        sameProcess
            ? before.server().startedAtMicros()
            : startTimes.toRouterMicros(endpoint.startedAtMillis(), listed.containsKey(id));
    return new RegisteredEndpoint(
        endpoint,
        ServerEntry.builder()
            .id(id)
            .zone(numberOf(endpoint.zone(), zoneNumbers))
            .kind(kind)
            .cell(numberOf(endpoint.zone() + "/" + endpoint.rack(), rackNumbers))
            .lifecycle(endpoint.lifecycle())
            .weight(endpoint.weight())
            .startedAtMicros(startedAtMicros)
            .build());
  }

  private void rememberRemoved(long id, RegisteredEndpoint endpoint) {
    removed.put(id, endpoint);
    if (removed.size() > MAX_REMOVED_ENDPOINTS) {
      removed.remove(removed.keySet().iterator().next());
    }
  }

  private static int numberOf(String name, Map<String, Integer> numbers) {
    return numbers.computeIfAbsent(name, unknown -> numbers.size());
  }

  private static long hashOfNameAndAddress(Endpoint endpoint) {
    return StableHash.of(
        endpoint.name()
            + "@"
            + endpoint.address().getHostString()
            + ":"
            + endpoint.address().getPort());
  }
}
