package lemondock.exporter;

/** A change of the service that clients get, as collectors are notified of it. */
public enum ServiceHealth {
  /** Service has become worse than usual. */
  DEGRADED,
  /** Service is as usual again. */
  RECOVERED
}
