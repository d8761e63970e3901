package lemondock.policy;

/**
 * One tenant and the requests a second, over all gateways, that lie within its share (0: no share).
 */
public record Tenant(double quotaPerSecond) {}
