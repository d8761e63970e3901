package lemondock.policy;

import java.util.List;
import java.util.Objects;

/**
 * All that the router is told at its start. Numbers of classes, tenants and server kinds index the
 * lists here.
 *
 * @param gatewayIndex this gateway's number
 * @param gatewayCount how many gateways share the servers, this one included
 * @param zone this gateway's zone
 * @param timerResolutionMicros resolution of the timers of the host
 * @param classes the classes of requests, by their ids
 * @param tenants the tenants, by their ids; empty if there are none
 * @param serverKinds the kinds of servers, by their ids
 * @param limits what the deployment allows
 * @param rules the figures of the five rules
 * @param streamsResume whether a broken stream may be resumed
 * @param writersRead whether writers can read prompts
 */
public record RouterSettings(
    int gatewayIndex,
    int gatewayCount,
    int zone,
    long timerResolutionMicros,
    List<RequestClass> classes,
    List<Tenant> tenants,
    List<ServerKind> serverKinds,
    DeploymentLimits limits,
    ServiceRules rules,
    boolean streamsResume,
    boolean writersRead) {

  /** Begins one; what is not set is 0, false or empty. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link RouterSettings}. For one thread. */
  public static final class Builder {
    private int gatewayIndex;
    private int gatewayCount;
    private int zone;
    private long timerResolutionMicros;
    private List<RequestClass> classes = List.of();
    private List<Tenant> tenants = List.of();
    private List<ServerKind> serverKinds = List.of();
    private DeploymentLimits limits;
    private ServiceRules rules;
    private boolean streamsResume;
    private boolean writersRead;

    private Builder() {}

    /** This gateway's number. */
    public Builder gatewayIndex(int value) {
      gatewayIndex = value;
      return this;
    }

    /** How many gateways share the servers, this one included. */
    public Builder gatewayCount(int value) {
      gatewayCount = value;
      return this;
    }

    /** This gateway's zone. */
    public Builder zone(int value) {
      zone = value;
      return this;
    }

    /** Resolution of the timers of the host. */
    public Builder timerResolutionMicros(long value) {
      timerResolutionMicros = value;
      return this;
    }

    /** The classes of requests, by their ids. */
    public Builder classes(List<RequestClass> value) {
      classes = value;
      return this;
    }

    /** The tenants, by their ids; empty if there are none. */
    public Builder tenants(List<Tenant> value) {
      tenants = value;
      return this;
    }

    /** The kinds of servers, by their ids. */
    public Builder serverKinds(List<ServerKind> value) {
      serverKinds = value;
      return this;
    }

    /** What the deployment allows. */
    public Builder limits(DeploymentLimits value) {
      limits = value;
      return this;
    }

    /** The figures of the five rules. */
    public Builder rules(ServiceRules value) {
      rules = value;
      return this;
    }

    /** Whether a broken stream may be resumed. */
    public Builder streamsResume(boolean value) {
      streamsResume = value;
      return this;
    }

    /** Whether writers can read prompts. */
    public Builder writersRead(boolean value) {
      writersRead = value;
      return this;
    }

    /**
     * The {@link RouterSettings}.
     *
     * @throws NullPointerException if limits or rules is not set
     */
    public RouterSettings build() {
      return new RouterSettings(
          gatewayIndex,
          gatewayCount,
          zone,
          timerResolutionMicros,
          classes,
          tenants,
          serverKinds,
          Objects.requireNonNull(limits, "limits"),
          Objects.requireNonNull(rules, "rules"),
          streamsResume,
          writersRead);
    }
  }
}
