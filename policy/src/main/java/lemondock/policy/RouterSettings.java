package lemondock.policy;

import java.util.List;

/**
 * All that the router is told at its start. Numbers of classes, tenants and server kinds index the
 * lists here.
 *
 * @param gatewayIndex this gateway's number
 * @param gatewayCount how many gateways share the servers, this one included
 * @param zone this gateway's zone
 * @param timerResolutionMicros resolution of the timers of the host
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
    boolean writersRead) {}
