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
 * Translates endpoint lists into updates for the router: servers, zones and kinds become numbers,
 * unchanged servers are left out of an update that reports only changes, and start times are
 * converted to the router's clock. By default, a server's id is a hash of its name and address, so
 * that all gateways use the same id for it, also after a restart; the router's rendezvous hashing
 * depends on that. Does no I/O and reads no clock. Loop thread only.
 */
public final class EndpointRegistry {
  /** Limits the memory for endpoints that are not listed any more. */
  private static final int MAX_REMOVED_ENDPOINTS = 4_096;

  private final List<String> kinds;
  private final ToLongFunction<Endpoint> idOf;
  private final Map<String, Integer> zoneNumbers = new HashMap<>();
  private final Map<String, Integer> rackNumbers = new HashMap<>();
  private final Map<Long, RegisteredEndpoint> listed = new HashMap<>();

  /**
   * The listed endpoints by object identity: an endpoint that is listed again as the same object
   * needs neither hashing nor comparison.
   */
  private final Map<Endpoint, RegisteredEndpoint> listedByIdentity = new IdentityHashMap<>();

  /** Endpoints removed from the list, in the order of removal; attempts may still refer to them. */
  private final Map<Long, RegisteredEndpoint> removed = new LinkedHashMap<>();

  private final ServerStartTimes startTimes = new ServerStartTimes();
  private boolean fullListReported;

  /** An endpoint as last listed, and the corresponding entry that the router received. */
  private record RegisteredEndpoint(Endpoint endpoint, ServerEntry server) {}

  /**
   * Creates an empty registry.
   *
   * @param kinds names of the server kinds, in the order of the settings
   */
  public EndpointRegistry(List<String> kinds) {
    this(kinds, EndpointRegistry::hashOfNameAndAddress);
  }

  /**
   * Creates an empty registry with a custom function for server ids, for example where each gateway
   * reaches a server at a different address.
   */
  public EndpointRegistry(List<String> kinds, ToLongFunction<Endpoint> idOf) {
    this.kinds = List.copyOf(kinds);
    this.idOf = idOf;
  }

  /**
   * Replaces the list by a new full list and returns the update for the router. The first list and
   * a cached list are reported in full, later ones as changes, of which there may be none.
   *
   * @param cached whether the list was stored before a restart
   * @param nowMicros current time of the router's clock
   * @param wallMillis current wall-clock time in milliseconds since the epoch
   */
  public EndpointUpdate update(
      List<Endpoint> endpoints, boolean cached, long nowMicros, long wallMillis) {
    startTimes.setClocks(nowMicros, wallMillis);
    List<String> skipped = new ArrayList<>();
    Map<Long, RegisteredEndpoint> next = registerEndpoints(endpoints, skipped);
    boolean full = cached || !fullListReported;
    List<ServerEntry> servers = serversToReport(next, full);
    next.keySet().forEach(removed::remove);
    if (!cached) {
      fullListReported = true;
      startTimes.listReceived();
    }
    return new EndpointUpdate(updateKind(cached, full), servers, skipped);
  }

  private static EndpointListKind updateKind(boolean cached, boolean full) {
    if (cached) {
      return EndpointListKind.CACHED;
    }
    return full ? EndpointListKind.FULL_LIST : EndpointListKind.CHANGES;
  }

  private Map<Long, RegisteredEndpoint> registerEndpoints(
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

  /** Replaces the list and returns the entries to report to the router. */
  private List<ServerEntry> serversToReport(Map<Long, RegisteredEndpoint> next, boolean full) {
    List<ServerEntry> servers = new ArrayList<>();
    next.forEach(
        (id, current) -> {
          RegisteredEndpoint previous = listed.get(id);
          if (full
              || previous == null
              || previous != current && !previous.server().equals(current.server())) {
            servers.add(current.server());
          }
        });
    listed.forEach(
        (id, previous) -> {
          if (!next.containsKey(id)) {
            retainRemoved(id, previous);
            if (!full) {
              servers.add(withLifecycle(previous.server(), ServerLifecycle.GONE));
            }
          }
        });
    listed.clear();
    listed.putAll(next);
    listedByIdentity.clear();
    next.values().forEach(current -> listedByIdentity.put(current.endpoint(), current));
    return servers;
  }

  /**
   * Makes the next list be reported in full, after a failure in which changes may have been lost.
   */
  public void requireFullUpdate() {
    fullListReported = false;
  }

  /**
   * Finds an endpoint by its id, also for some time after its removal from the list; otherwise
   * empty.
   */
  public Optional<Endpoint> find(long id) {
    return Optional.ofNullable(findRegistered(id)).map(RegisteredEndpoint::endpoint);
  }

  private RegisteredEndpoint findRegistered(long id) {
    return listed.getOrDefault(id, removed.get(id));
  }

  /** The lifecycle state of the server in the last list; GONE if it is not listed. */
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

  /** Number of endpoints in the current list. */
  public int size() {
    return listed.size();
  }

  /** The endpoints in the current list. */
  public List<Endpoint> endpoints() {
    return listed.values().stream().map(RegisteredEndpoint::endpoint).toList();
  }

  /**
   * A start time is converted once and kept, even while the server is not listed: a different start
   * time means that the server runs in a new process.
   */
  private RegisteredEndpoint register(long id, int kind, Endpoint endpoint) {
    RegisteredEndpoint previous = findRegistered(id);
    boolean sameProcess =
        previous != null && previous.endpoint().startedAtMillis() == endpoint.startedAtMillis();
    long startedAtMicros =
        sameProcess
            ? previous.server().startedAtMicros()
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

  private void retainRemoved(long id, RegisteredEndpoint endpoint) {
    removed.put(id, endpoint);
    if (removed.size() > MAX_REMOVED_ENDPOINTS) {
      removed.remove(removed.keySet().iterator().next());
    }
  }

  private static int numberOf(String name, Map<String, Integer> numbers) {
    return numbers.computeIfAbsent(name, newName -> numbers.size());
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
