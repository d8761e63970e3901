package lemondock.policy;

import java.util.List;

/**
 * All that the module is told at its start. Zone, class, tenant and kind numbers index the lists.
 */
public record RouterSettings(
    int me,
    int gateways,
    int zone,
    long resolution,
    List<RequestClass> classes,
    List<Tenant> tenants,
    List<ServerKind> kinds,
    DeploymentLimits limits,
    ServiceRules rules,
    boolean streamsResume,
    boolean writersRead) {}
