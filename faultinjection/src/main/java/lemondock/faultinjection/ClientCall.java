package lemondock.faultinjection;

/**
 * A client's call and what its client saw of it. Written by its client's thread only, read by any;
 * moments are 0 until they have come.
 */
final class ClientCall {
  private final String id;
  private final String gatewayName;
  private final CallEffect effect;
  private final long deadlineMicros;
  private volatile long sentMicros;
  private volatile long endedMicros;
  private volatile long leftMicros;
  private volatile int status;
  private volatile CallOutcome outcome = CallOutcome.OPEN;

  /** A call that is not sent yet; {@code deadlineMicros} counts from when it is. */
  ClientCall(String id, String gatewayName, CallEffect effect, long deadlineMicros) {
    this.id = id;
    this.gatewayName = gatewayName;
    this.effect = effect;
    this.deadlineMicros = deadlineMicros;
  }

  void markSent() {
    sentMicros = MonotonicClock.nowMicros();
  }

  /** Records that the client has closed its connection before the answer was complete. */
  void markLeft() {
    leftMicros = MonotonicClock.nowMicros();
    end(CallOutcome.LEFT);
  }

  void setStatus(int status) {
    this.status = status;
  }

  void end(CallOutcome newOutcome) {
    endedMicros = MonotonicClock.nowMicros();
    outcome = newOutcome;
  }

  String id() {
    return id;
  }

  String gatewayName() {
    return gatewayName;
  }

  CallEffect effect() {
    return effect;
  }

  /** How long the client waits for the answer's beginning, in microseconds. */
  long deadlineMicros() {
    return deadlineMicros;
  }

  /** The moment at which its deadline passes. */
  long dueMicros() {
    return sentMicros + deadlineMicros;
  }

  long sentMicros() {
    return sentMicros;
  }

  long endedMicros() {
    return endedMicros;
  }

  boolean hasLeft() {
    return leftMicros > 0;
  }

  long leftMicros() {
    return leftMicros;
  }

  /** The status of the answer, 0 if there was none. */
  int status() {
    return status;
  }

  CallOutcome outcome() {
    return outcome;
  }
}
