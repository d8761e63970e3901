package lemondock.exporter;

/** A change in the quality of service to clients, of which collectors are notified. */
public enum ServiceHealth {
  /** The service has become worse than usual. */
  DEGRADED,
  /** The service is as usual again. */
  RECOVERED
}
