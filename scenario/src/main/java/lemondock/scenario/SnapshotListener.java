package lemondock.scenario;

import lemondock.metrics.MetricsSnapshot;

/** Receives every metrics snapshot that the gateways of a fleet take for their reports. */
@FunctionalInterface
public interface SnapshotListener {
  /**
   * Called on the reporting loop of the gateway.
   *
   * @param atMicros when the snapshot was taken, by the machine's monotonic clock
   */
  void onSnapshot(String gateway, long atMicros, MetricsSnapshot snapshot);
}
