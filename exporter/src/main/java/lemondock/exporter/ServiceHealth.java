package lemondock.exporter;

/** A change in the service that clients get, for notifications to collectors. */
public enum ServiceHealth {
  /** The service has become worse than usual. */
  DEGRADED,
  /** The service is as usual again. */
  RECOVERED
}
