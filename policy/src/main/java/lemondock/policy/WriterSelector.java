package lemondock.policy;

import static lemondock.policy.ServerEligibility.preferIfAny;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Selects the server that writes an answer by the power of two choices: one candidate is drawn from
 * the cell of the reader and one from its zone, or from all writers if the zone has none, and the
 * one with the lower load wins. If a cell has a larger share of its zone's readers than of its
 * zone's writers, only a random part of its states may be written in the cell: its share of the
 * writers divided by its share of the readers. Comparing loads alone would not achieve this: one
 * gateway of many sends few of the tokens that the cell's writers process and would always consider
 * these writers idle.
 */
final class WriterSelector {
  /**
   * A far candidate in another cell wins only if its load is below this share of the near one's.
   */
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

  /** The write for the state at the state holder; empty if no server may receive it. */
  Optional<AttemptPlan> select(InFlightRequest request, ServerState stateHolder) {
    return selectServer(request, stateHolder.entry()).map(WriterSelector::planWrite);
  }

  private static AttemptPlan planWrite(ServerState server) {
    long expectedMicros = (long) server.roleStatistics().firstTokenMicros();
    return new AttemptPlan(server, AttemptWork.WRITE, 0, expectedMicros);
  }

  private Optional<ServerState> selectServer(InFlightRequest request, ServerEntry reader) {
    List<ServerState> available =
        preferIfAny(eligibility.writers(request), server -> capacity.hasCapacity(server, request));
    List<ServerState> zoneWriters =
        preferIfAny(available, server -> server.entry().zone() == reader.zone());
    if (zoneWriters.isEmpty()) {
      return Optional.empty();
    }
    List<ServerState> cellWriters =
        zoneWriters.stream().filter(server -> server.entry().cell() == reader.cell()).toList();
    if (cellWriters.isEmpty()) {
      return Optional.of(lessLoaded(request, drawRandom(zoneWriters), drawRandom(zoneWriters)));
    }
    double readerShare = servers.table().readerShareOfCell(reader);
    if (random.nextDouble() * readerShare * zoneWriters.size() >= cellWriters.size()) {
      return Optional.of(
          drawRandom(preferIfAny(zoneWriters, server -> server.entry().cell() != reader.cell())));
    }
    return Optional.of(lessLoaded(request, drawRandom(cellWriters), drawRandom(zoneWriters)));
  }

  /**
   * The less loaded server, with a preference for the near one if the far one is in another cell.
   */
  private ServerState lessLoaded(InFlightRequest request, ServerState near, ServerState far) {
    double factor = near.entry().cell() == far.entry().cell() ? 1 : REMOTE_LOAD_FACTOR;
    LatencyEstimator latency = servers.latency();
    return latency.writeLoad(request, far) >= latency.writeLoad(request, near) * factor
        ? near
        : far;
  }

  /** Draws a server at random; the list must not be empty. */
  private ServerState drawRandom(List<ServerState> candidates) {
    return candidates.get(random.nextInt(candidates.size()));
  }
}
