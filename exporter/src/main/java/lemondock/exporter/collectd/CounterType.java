package lemondock.exporter.collectd;

/** The collectd data source type that counters are sent as. */
public enum CounterType {
  /** A counter that goes down has been reset by a restart. */
  DERIVE(2),
  /** A counter that goes down has wrapped, so that a restart shows as a spike. */
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
