package lemondock.policy;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** The servers of the endpoint list, each with the state that this gateway keeps about it. */
final class ServerTable {
  private final List<ServerKind> kinds;
  private final SplittableRandom random;
  private final DecisionClock clock;
  private final Map<Long, ServerState> servers = new TreeMap<>();
  private final Map<ServerRole, RoleStatistics> statisticsByRole = new EnumMap<>(ServerRole.class);
  private List<ServerState> readers = List.of();
  private List<ServerState> writers = List.of();

  ServerTable(List<ServerKind> kinds, SplittableRandom random, DecisionClock clock) {
    this.kinds = kinds;
    this.random = random;
    this.clock = clock;
    for (ServerRole role : ServerRole.values()) {
      statisticsByRole.put(role, new RoleStatistics());
    }
  }

  /**
   * Applies a full endpoint list or changes to it. {@link EndpointListKind#FAILED}, which has no
   * entries, must not be passed.
   *
   * @throws InvalidRouterInputException if an entry has a kind that the settings do not define
   */
  void apply(EndpointListKind listKind, List<ServerEntry> entries) {
    if (listKind != EndpointListKind.CHANGES) {
      servers.values().forEach(ServerState::markGone);
    }
    statisticsByRole.values().forEach(RoleStatistics::invalidateWarmRate);
    entries.forEach(this::update);
    servers.values().removeIf(ServerTable::isRemovable);
    readers = readyServersExcept(ServerRole.WRITER);
    writers = readyServersExcept(ServerRole.READER);
  }

  /**
   * Adds or updates one server. A new process with a known id starts with new state; attempts in
   * flight still count for the old process.
   *
   * @throws InvalidRouterInputException if the settings do not define the kind of the entry
   */
  private void update(ServerEntry entry) {
    if (entry.kind() >= kinds.size()) {
      throw new InvalidRouterInputException(
          "entries[id=" + entry.id() + "].kind",
          entry.kind(),
          "server "
              + entry.id()
              + " has the unknown kind "
              + entry.kind()
              + ", expected less than "
              + kinds.size());
    }
    ServerState known = servers.get(entry.id());
    if (known == null || known.entry().startedAtMicros() != entry.startedAtMicros()) {
      servers.put(entry.id(), newServer(entry));
    } else {
      known.update(entry);
    }
  }

  private ServerState newServer(ServerEntry entry) {
    ServerKind kind = kinds.get(entry.kind());
    SlowStartCredit credit = new SlowStartCredit(random.nextDouble(), clock.nowMicros());
    return new ServerState(entry, kind, statisticsByRole.get(kind.role()), credit);
  }

  private static boolean isRemovable(ServerState server) {
    return server.lifecycle() == ServerLifecycle.GONE && server.queue().isEmpty();
  }

  private List<ServerState> readyServersExcept(ServerRole role) {
    return servers.values().stream()
        .filter(server -> server.isReady() && server.role() != role)
        .toList();
  }

  /**
   * All known servers, in the order of their ids. Includes servers that are gone but had unanswered
   * attempts when the endpoint list last changed.
   */
  Collection<ServerState> all() {
    return servers.values();
  }

  /** The ready servers that can read, mixed ones included. */
  List<ServerState> readers() {
    return readers;
  }

  /** The ready servers that can write, mixed ones included. */
  List<ServerState> writers() {
    return writers;
  }

  RoleStatistics statistics(ServerRole role) {
    return statisticsByRole.get(role);
  }

  /** The share of the readers in the entry's zone, without mixed servers, that are in its cell. */
  double readerShareOfCell(ServerEntry entry) {
    List<ServerState> zoneReaders =
        readers.stream()
            .filter(server -> server.role() == ServerRole.READER)
            .filter(server -> server.entry().zone() == entry.zone())
            .toList();
    long cellReaders =
        zoneReaders.stream().filter(server -> server.entry().cell() == entry.cell()).count();
    return cellReaders / Math.max(1.0, zoneReaders.size());
  }
}
