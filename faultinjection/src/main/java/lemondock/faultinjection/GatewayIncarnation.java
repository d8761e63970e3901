package lemondock.faultinjection;

/**
 * One process of a gateway, from its start to its end. Written by the threads that start, signal
 * and await it, read by any; moments are 0 until they have come.
 */
final class GatewayIncarnation {
  private final String gatewayName;
  private final long startedMicros = MonotonicClock.nowMicros();
  private volatile long readyMicros;
  private volatile long terminatedMicros;
  private volatile long killedMicros;
  private volatile long endedMicros;
  private volatile int exitCode;

  /** A process that is started now. */
  GatewayIncarnation(String gatewayName) {
    this.gatewayName = gatewayName;
  }

  void markReady() {
    readyMicros = MonotonicClock.nowMicros();
  }

  /** Records SIGTERM. */
  void markTerminated() {
    terminatedMicros = MonotonicClock.nowMicros();
  }

  /** Records SIGKILL. */
  void markKilled() {
    killedMicros = MonotonicClock.nowMicros();
  }

  void markEnded(int newExitCode) {
    exitCode = newExitCode;
    endedMicros = MonotonicClock.nowMicros();
  }

  String gatewayName() {
    return gatewayName;
  }

  boolean isReady() {
    return readyMicros > 0;
  }

  boolean wasTerminated() {
    return terminatedMicros > 0;
  }

  long terminatedMicros() {
    return terminatedMicros;
  }

  boolean wasKilled() {
    return killedMicros > 0;
  }

  long killedMicros() {
    return killedMicros;
  }

  boolean hasEnded() {
    return endedMicros > 0;
  }

  long endedMicros() {
    return endedMicros;
  }

  int exitCode() {
    return exitCode;
  }

  /** Whether the process was there at that moment. */
  boolean covers(long momentMicros) {
    return momentMicros >= startedMicros && (!hasEnded() || momentMicros <= endedMicros);
  }

  /** Whether the process was killed without notice. */
  boolean wasKilledWithoutNotice() {
    return wasKilled() && !wasTerminated();
  }
}
