package lemondock.policy;

import java.util.Objects;

/**
 * One server as the endpoint list has it.
 *
 * @param id its number, the same for all gateways
 * @param zone number of its zone
 * @param kind index into {@link RouterSettings#serverKinds}
 * @param cell number of its cell, the part of a zone within which states move fastest
 * @param lifecycle whether it takes requests
 * @param weight its part of the load, 1 for an ordinary server
 * @param startedAtMicros when its process started, on the events' clock; 0 for long ago
 */
public record ServerEntry(
    long id,
    int zone,
    int kind,
    int cell,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMicros) {

  /** Begins one; what is not set is 0, or 1 for the weight. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link ServerEntry}. For one thread. */
  public static final class Builder {
    private long id;
    private int zone;
    private int kind;
    private int cell;
    private ServerLifecycle lifecycle;
    private double weight = 1;
    private long startedAtMicros;

    private Builder() {}

    /** Its number, the same for all gateways. */
    public Builder id(long value) {
      id = value;
      return this;
    }

    /** Number of its zone. */
    public Builder zone(int value) {
      zone = value;
      return this;
    }

    /** Index into {@link RouterSettings#serverKinds}. */
    public Builder kind(int value) {
      kind = value;
      return this;
    }

    /** Number of its cell, the part of a zone within which states move fastest. */
    public Builder cell(int value) {
      cell = value;
      return this;
    }

    /** Whether it takes requests. */
    public Builder lifecycle(ServerLifecycle value) {
      lifecycle = value;
      return this;
    }

    /** Its part of the load, 1 for an ordinary server. */
    public Builder weight(double value) {
      weight = value;
      return this;
    }

    /** When its process started, on the events' clock; 0 for long ago. */
    public Builder startedAtMicros(long value) {
      startedAtMicros = value;
      return this;
    }

    /**
     * The {@link ServerEntry}.
     *
     * @throws NullPointerException if lifecycle is not set
     */
    public ServerEntry build() {
      return new ServerEntry(
          id,
          zone,
          kind,
          cell,
          Objects.requireNonNull(lifecycle, "lifecycle"),
          weight,
          startedAtMicros);
    }
  }
}
