package lemondock.faultinjection;

/**
 * One process of a gateway, from its start to its end. Written by the threads that start, signal
 * and await it; any thread may read it. Timestamps are 0 until their event has occurred.
 */
final class GatewayIncarnation {
  private final String gatewayName;
  private final long startedMicros = MonotonicClock.nowMicros();
  private volatile long readyMicros;
  private volatile long terminatedMicros;
  private volatile long killedMicros;
  private volatile long endedMicros;
  private volatile int exitCode;

  /** Records a process that starts now. */
  GatewayIncarnation(String gatewayName) {
    this.gatewayName = gatewayName;
  }

  void markReady() {
    readyMicros = MonotonicClock.nowMicros();
  }

  /** Records that SIGTERM is sent now. */
  void markTerminated() {
    terminatedMicros = MonotonicClock.nowMicros();
  }

  /** Records that SIGKILL is sent now. */
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

  /** Whether the process had started and not yet ended at that time. */
  boolean wasRunningAt(long timeMicros) {
    return timeMicros >= startedMicros && (!hasEnded() || timeMicros <= endedMicros);
  }

  /** Whether the process got SIGKILL without SIGTERM before it. */
  boolean wasKilledWithoutNotice() {
    return wasKilled() && !wasTerminated();
  }
}
