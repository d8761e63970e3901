package lemondock.exporter;

/**
 * What a destination counts, in the order of the fields of {@link
 * lemondock.metrics.MetricFamilies#EXPORTS}.
 */
public enum DestinationCounter {
  /** Snapshots sent completely. */
  SNAPSHOTS_SENT,
  /** Snapshots dropped, oldest first, for want of buffer space. */
  SNAPSHOTS_DROPPED,
  /** Snapshots sent again after a connection broke. */
  SNAPSHOTS_RESENT,
  /** Bytes handed to the operating system or queued on the connection. */
  BYTES_SENT,
  /** Datagrams handed to the operating system. */
  PACKETS_SENT,
  /** Datagrams that the operating system did not take. */
  PACKETS_LOST,
  /** Connections made. */
  CONNECTIONS_OPENED,
  /** Connections that failed or broke. */
  CONNECTION_FAILURES,
  /** Bytes that the collector sent, which are ignored. */
  BYTES_IGNORED,
  /** Snapshots waiting to be sent at the moment; the only gauge. */
  SNAPSHOTS_PENDING
}
