package lemondock.policy;

import java.util.Comparator;
import java.util.List;

/**
 * Weighted rendezvous hashing: all gateways rank the servers for a key in the same order, and a
 * server in slow start comes first for a share of the keys in proportion to its speed.
 */
final class RendezvousRanking {
  private final SlowStart slowStart;

  RendezvousRanking(SlowStart slowStart) {
    this.slowStart = slowStart;
  }

  /** Sorts the servers by their rank for the key, best first. */
  void sort(List<ServerState> servers, long key) {
    for (ServerState server : servers) {
      double hash = unitInterval(mix(key ^ mix(server.id())));
      server.setHashScore(-Math.log(hash) / slowStart.relativeSpeed(server));
    }
    servers.sort(Comparator.comparingDouble(ServerState::hashScore));
  }

  /**
   * Maps a hash to a number between 0 and 1, both exclusive; larger hashes give smaller numbers.
   */
  private static double unitInterval(long hash) {
    return 1 - ((hash - Long.MIN_VALUE >>> 12) + 0.5) * 0x1p-52;
  }

  /** The finalizer of SplitMix64. */
  private static long mix(long key) {
    long mixed = key + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
