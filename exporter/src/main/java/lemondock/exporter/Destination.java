package lemondock.exporter;

/** A collector that snapshots are exported to. Loop thread only. */
public interface Destination {
  /** The destination's name in the settings. */
  String name();

  /** Sends pending data as far as the collector accepts it; called for each new snapshot. */
  void sendPending();

  /**
   * Notifies the collector of a change in service health; does nothing if the protocol has no
   * notifications.
   *
   * @param timestampMillis milliseconds since the epoch
   */
  default void notifyServiceHealth(long timestampMillis, ServiceHealth health, String message) {}

  /**
   * Sends pending data and closes gracefully. Calls {@code onClosed} once, also if the data cannot
   * be sent.
   */
  void shutDown(Runnable onClosed);

  /** Closes immediately and drops pending data. */
  void abort();

  /** The destination's counts since the start, updated by this call. */
  DestinationStatistics statistics();
}
