package lemondock.dispatch;

import java.net.InetSocketAddress;
import java.util.Objects;
import lemondock.policy.ServerLifecycle;

/**
 * A server as given in an endpoint list. The router identifies servers, zones and kinds by numbers
 * instead.
 *
 * @param name the server's name, unique within the list
 * @param address address to which requests are sent
 * @param kind name of the server's kind in the settings
 * @param zone failure domain of the server
 * @param rack part of the zone within which states are transferred fastest; the router calls it a
 *     cell
 * @param lifecycle lifecycle state, which says whether the server accepts requests
 * @param weight share of the load relative to other servers
 * @param startedAtMillis start time of the server's process in milliseconds since the epoch, 0 if
 *     it is long ago or unknown
 */
public record Endpoint(
    String name,
    InetSocketAddress address,
    String kind,
    String zone,
    String rack,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMillis) {

  /** Returns a builder; the weight defaults to 1 and the start time to 0. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of an {@link Endpoint}. Not thread-safe. */
  public static final class Builder {
    private String name;
    private InetSocketAddress address;
    private String kind;
    private String zone;
    private String rack;
    private ServerLifecycle lifecycle;
    private double weight = 1;
    private long startedAtMillis;

    private Builder() {}

    /** The server's name, unique within the list. */
    public Builder name(String value) {
      name = value;
      return this;
    }

    /** Address to which requests are sent. */
    public Builder address(InetSocketAddress value) {
      address = value;
      return this;
    }

    /** Name of the server's kind in the settings. */
    public Builder kind(String value) {
      kind = value;
      return this;
    }

    /** Failure domain of the server. */
    public Builder zone(String value) {
      zone = value;
      return this;
    }

    /** Part of the zone within which states are transferred fastest; the router calls it a cell. */
    public Builder rack(String value) {
      rack = value;
      return this;
    }

    /** Lifecycle state, which says whether the server accepts requests. */
    public Builder lifecycle(ServerLifecycle value) {
      lifecycle = value;
      return this;
    }

    /** Share of the load relative to other servers. */
    public Builder weight(double value) {
      weight = value;
      return this;
    }

    /**
     * Start time of the server's process in milliseconds since the epoch, 0 if it is long ago or
     * unknown.
     */
    public Builder startedAtMillis(long value) {
      startedAtMillis = value;
      return this;
    }

    /**
     * Returns the {@link Endpoint}.
     *
     * @throws NullPointerException if name, address, kind, zone, rack or lifecycle is not set
     */
    public Endpoint build() {
      return new Endpoint(
          Objects.requireNonNull(name, "name"),
          Objects.requireNonNull(address, "address"),
          Objects.requireNonNull(kind, "kind"),
          Objects.requireNonNull(zone, "zone"),
          Objects.requireNonNull(rack, "rack"),
          Objects.requireNonNull(lifecycle, "lifecycle"),
          weight,
          startedAtMillis);
    }
  }
}
