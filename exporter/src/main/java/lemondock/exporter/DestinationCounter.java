package lemondock.exporter;

/**
 * The counts of a destination, in the order of the fields of {@link
 * lemondock.metrics.MetricFamilies#EXPORTS}.
 */
public enum DestinationCounter {
  /** Snapshots sent completely. */
  SNAPSHOTS_SENT,
  /** Snapshots dropped, oldest first, because buffer space ran out. */
  SNAPSHOTS_DROPPED,
  /** Snapshots sent again after a connection broke. */
  SNAPSHOTS_RESENT,
  /** Bytes handed to the operating system or queued on the connection. */
  BYTES_SENT,
  /** Datagrams handed to the operating system. */
  PACKETS_SENT,
  /** Failed attempts to send a datagram: the operating system refused it or reported an error. */
  PACKETS_LOST,
  /** Connections or datagram sockets opened. */
  CONNECTIONS_OPENED,
  /** Failed attempts to open a connection or socket, and failures of open ones. */
  CONNECTION_FAILURES,
  /** Bytes received from the collector, which are ignored. */
  BYTES_IGNORED,
  /** Snapshots currently waiting to be sent; the only gauge. */
  SNAPSHOTS_PENDING
}
