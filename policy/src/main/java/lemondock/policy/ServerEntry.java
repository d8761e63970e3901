package lemondock.policy;

import java.util.Objects;

/**
 * One server, as described by the endpoint list.
 *
 * @param id number of the server, the same for all gateways
 * @param zone number of its zone
 * @param kind index into {@link RouterSettings#serverKinds}
 * @param cell number of its cell, the part of a zone within which state is transferred fastest
 * @param lifecycle whether it accepts requests
 * @param weight its relative share of the load, 1 for an ordinary server
 * @param startedAtMicros when its process started, on the clock of the events; 0 for long ago
 */
public record ServerEntry(
    long id,
    int zone,
    int kind,
    int cell,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMicros) {

  /**
   * Returns a builder whose components are 0 until set; the weight is 1, and the lifecycle must be
   * set.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link ServerEntry}; not thread-safe. */
  public static final class Builder {
    private long id;
    private int zone;
    private int kind;
    private int cell;
    private ServerLifecycle lifecycle;
    private double weight = 1;
    private long startedAtMicros;

    private Builder() {}

    /** Sets the number of the server, the same for all gateways. */
    public Builder id(long value) {
      id = value;
      return this;
    }

    /** Sets the number of its zone. */
    public Builder zone(int value) {
      zone = value;
      return this;
    }

    /** Sets its kind, an index into {@link RouterSettings#serverKinds}. */
    public Builder kind(int value) {
      kind = value;
      return this;
    }

    /**
     * Sets the number of its cell, the part of a zone within which state is transferred fastest.
     */
    public Builder cell(int value) {
      cell = value;
      return this;
    }

    /** Sets whether it accepts requests. */
    public Builder lifecycle(ServerLifecycle value) {
      lifecycle = value;
      return this;
    }

    /** Sets its relative share of the load, 1 for an ordinary server. */
    public Builder weight(double value) {
      weight = value;
      return this;
    }

    /** Sets when its process started, on the clock of the events; 0 for long ago. */
    public Builder startedAtMicros(long value) {
      startedAtMicros = value;
      return this;
    }

    /**
     * Builds the {@link ServerEntry}.
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
