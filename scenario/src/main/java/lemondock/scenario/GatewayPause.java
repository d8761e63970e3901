package lemondock.scenario;

/**
 * A time span in which a gateway was paused, as a process is by SIGSTOP. Times are microseconds of
 * the machine's monotonic clock.
 */
public record GatewayPause(String gateway, long fromMicros, long toMicros) {}
