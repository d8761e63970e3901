package lemondock.policy;

import java.util.List;
import java.util.Objects;

/**
 * Settings of a router, fixed at its start. The ids of request classes, tenants and server kinds
 * are indexes into the lists of this record.
 *
 * @param gatewayIndex index of this gateway
 * @param gatewayCount number of gateways that share the servers, including this one
 * @param zone number of this gateway's zone
 * @param timerResolutionMicros resolution of the host's timers, in microseconds
 * @param classes request classes by id, at least one
 * @param tenants tenants by id; empty if there are none
 * @param serverKinds server kinds by id, at least one
 * @param limits what the deployment allows
 * @param rules parameters of the five service rules
 * @param streamsResume whether a broken stream may be resumed
 * @param writersCanRead whether writers can read prompts
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
    boolean writersCanRead) {

  /**
   * Returns a builder whose components are 0, false or empty until set; limits and rules must be
   * set.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link RouterSettings}; not thread-safe. */
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
    private boolean writersCanRead;

    private Builder() {}

    /** Sets the index of this gateway. */
    public Builder gatewayIndex(int value) {
      gatewayIndex = value;
      return this;
    }

    /** Sets the number of gateways that share the servers, including this one. */
    public Builder gatewayCount(int value) {
      gatewayCount = value;
      return this;
    }

    /** Sets the number of this gateway's zone. */
    public Builder zone(int value) {
      zone = value;
      return this;
    }

    /** Sets the resolution of the host's timers. */
    public Builder timerResolutionMicros(long value) {
      timerResolutionMicros = value;
      return this;
    }

    /** Sets the request classes by id, at least one. */
    public Builder classes(List<RequestClass> value) {
      classes = value;
      return this;
    }

    /** Sets the tenants by id; empty if there are none. */
    public Builder tenants(List<Tenant> value) {
      tenants = value;
      return this;
    }

    /** Sets the server kinds by id, at least one. */
    public Builder serverKinds(List<ServerKind> value) {
      serverKinds = value;
      return this;
    }

    /** Sets what the deployment allows. */
    public Builder limits(DeploymentLimits value) {
      limits = value;
      return this;
    }

    /** Sets the parameters of the five service rules. */
    public Builder rules(ServiceRules value) {
      rules = value;
      return this;
    }

    /** Sets whether a broken stream may be resumed. */
    public Builder streamsResume(boolean value) {
      streamsResume = value;
      return this;
    }

    /** Sets whether writers can read prompts. */
    public Builder writersCanRead(boolean value) {
      writersCanRead = value;
      return this;
    }

    /**
     * Builds the {@link RouterSettings}.
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
          writersCanRead);
    }
  }
}
