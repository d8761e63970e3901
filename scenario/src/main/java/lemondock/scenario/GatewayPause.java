package lemondock.scenario;

/**
 * A gateway was paused, as a process is by SIGSTOP; times are microseconds of the machine's
 * monotonic clock.
 */
public record GatewayPause(String gateway, long fromMicros, long toMicros) {}
