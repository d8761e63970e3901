package lemondock.policy;

import static lemondock.policy.ServerEligibility.preferIfAny;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Chooses the server that writes an answer: power of two choices, one drawn from the cell of the
 * reader and one from its zone, else any; the lower load wins. A cell with more than its part of
 * the zone's readers keeps only its writers' part of its states, by chance: of many gateways each
 * sees few of their tokens and would always find them idle.
 */
final class WriterSelector {
  /** A writer outside the cell wins only below this share of the near one's load. */
  private static final double REMOTE_LOAD_FACTOR = 0.7;

  private final ServerEligibility eligibility;
  private final ServerModel servers;
  private final AdaptiveCapacityLimit capacity;
  private final SplittableRandom random;

  WriterSelector(
      ServerEligibility eligibility,
      ServerModel servers,
      AdaptiveCapacityLimit capacity,
      SplittableRandom random) {
    this.eligibility = eligibility;
    this.servers = servers;
    this.capacity = capacity;
    this.random = random;
  }

  /** The write of what the state holder has read; empty if no server may take it. */
  Optional<AttemptPlan> select(InFlightRequest request, ServerState stateHolder) {
    return selectServer(request, stateHolder.entry()).map(WriterSelector::planWrite);
  }

  private static AttemptPlan planWrite(ServerState server) {
    long expectedMicros = (long) server.roleStatistics().firstTokenMicros();
    return new AttemptPlan(server, AttemptWork.WRITE, 0, expectedMicros);
  }

  private Optional<ServerState> selectServer(InFlightRequest request, ServerEntry reader) {
    List<ServerState> able =
        preferIfAny(eligibility.writers(request), server -> capacity.hasCapacity(server, request));
    List<ServerState> zone = preferIfAny(able, server -> server.entry().zone() == reader.zone());
    if (zone.isEmpty()) {
      return Optional.empty();
    }
    List<ServerState> cell =
        zone.stream().filter(server -> server.entry().cell() == reader.cell()).toList();
    if (cell.isEmpty()) {
      return Optional.of(lessLoaded(request, draw(zone), draw(zone)));
    }
    double readerShare = servers.table().readerShareOfCell(reader);
    if (random.nextDouble() * readerShare * zone.size() >= cell.size()) {
      return Optional.of(draw(preferIfAny(zone, server -> server.entry().cell() != reader.cell())));
    }
    return Optional.of(lessLoaded(request, draw(cell), draw(zone)));
  }

  private ServerState lessLoaded(InFlightRequest request, ServerState near, ServerState far) {
    double factor = near.entry().cell() == far.entry().cell() ? 1 : REMOTE_LOAD_FACTOR;
    LatencyEstimator latency = servers.latency();
    return latency.writeLoad(request, far) >= latency.writeLoad(request, near) * factor
        ? near
        : far;
  }

  /** Any of the servers, of which there is at least one. */
  private ServerState draw(List<ServerState> from) {
    return from.get(random.nextInt(from.size()));
  }
}
