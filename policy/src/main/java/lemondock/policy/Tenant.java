package lemondock.policy;

/**
 * One tenant.
 *
 * @param quotaPerSecond requests per second, over all gateways, that lie within its quota; 0 for no
 *     quota
 */
public record Tenant(double quotaPerSecond) {}
