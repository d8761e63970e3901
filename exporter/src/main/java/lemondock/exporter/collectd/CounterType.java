package lemondock.exporter.collectd;

/** The collectd data source type that counters are sent as. */
public enum CounterType {
  /** A decrease is interpreted as a reset of the counter by a restart. */
  DERIVE(2),
  /** A decrease is interpreted as an overflow, so that a restart shows as a spike. */
  COUNTER(0);

  private final int code;

  CounterType(int code) {
    this.code = code;
  }

  /** The type's code in the binary network protocol. */
  int code() {
    return code;
  }
}
