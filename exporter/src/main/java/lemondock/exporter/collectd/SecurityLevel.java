package lemondock.exporter.collectd;

/** How packets of collectd's network protocol are protected. */
public enum SecurityLevel {
  NONE,
  SIGN,
  ENCRYPT
}
