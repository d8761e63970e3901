package lemondock.scenario;

import lemondock.metrics.MetricsSnapshot;

/** Receives each metrics snapshot that the gateways of a fleet take for their reports. */
@FunctionalInterface
public interface SnapshotListener {
  /**
   * Called on the gateway's reporting loop.
   *
   * @param atMicros time of the snapshot, in microseconds of the machine's monotonic clock
   */
  void onSnapshot(String gateway, long atMicros, MetricsSnapshot snapshot);
}
