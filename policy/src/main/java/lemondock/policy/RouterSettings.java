package lemondock.policy;

import java.util.List;

/**
 * All that the module is told at its start. Zone, class, tenant and kind numbers index the lists.
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
    boolean writersRead) {}
