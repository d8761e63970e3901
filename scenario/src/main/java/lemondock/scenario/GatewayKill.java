package lemondock.scenario;

/**
 * A gateway was killed.
 *
 * @param atMicros when, by the machine's monotonic clock
 */
public record GatewayKill(String gateway, long atMicros) {}
