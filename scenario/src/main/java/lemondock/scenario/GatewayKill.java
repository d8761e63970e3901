package lemondock.scenario;

/**
 * The kill of a gateway.
 *
 * @param atMicros time of the kill, in microseconds of the machine's monotonic clock
 */
public record GatewayKill(String gateway, long atMicros) {}
