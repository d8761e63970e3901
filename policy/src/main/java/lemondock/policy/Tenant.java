package lemondock.policy;

/**
 * A tenant, whose requests share a quota.
 *
 * @param quotaPerSecond quota in requests per second, for all gateways together; 0 for no quota
 */
public record Tenant(double quotaPerSecond) {}
