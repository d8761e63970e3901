package lemondock.exporter;

/** A collector that snapshots are exported to. Loop thread only. */
public interface Destination {
  /** The name in the settings. */
  String name();

  /** Sends what is pending, as far as the collector takes it; called for each new snapshot. */
  void sendPending();

  /**
   * Reports a change of service to collectors that take notifications; others ignore it.
   *
   * @param timestampMillis milliseconds since the epoch
   */
  default void notifyServiceHealth(long timestampMillis, ServiceHealth health, String message) {}

  /**
   * Sends what is pending and closes gracefully, then calls back once; also if that cannot be done.
   */
  void shutDown(Runnable onClosed);

  /** Closes immediately and drops what is pending. */
  void abort();

  /** Counts so far. */
  DestinationStatistics statistics();
}
