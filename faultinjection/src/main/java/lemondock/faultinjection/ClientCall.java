package lemondock.faultinjection;

/**
 * A client's call and its outcome as the client observed it. Only the client's thread writes it,
 * any thread may read it. Timestamps are 0 until their event has occurred.
 */
final class ClientCall {
  private final String id;
  private final String gatewayName;
  private final CallEffect effect;
  private final long deadlineMicros;
  private volatile long sentMicros;
  private volatile long endedMicros;
  private volatile long disconnectedMicros;
  private volatile int status;
  private volatile CallOutcome outcome = CallOutcome.OPEN;

  /** Creates a call that is not sent yet; {@code deadlineMicros} counts from {@link #markSent}. */
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
  void markDisconnected() {
    disconnectedMicros = MonotonicClock.nowMicros();
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

  /** The time from sending within which the answer must begin, in microseconds. */
  long deadlineMicros() {
    return deadlineMicros;
  }

  /** The time at which the deadline expires. */
  long dueMicros() {
    return sentMicros + deadlineMicros;
  }

  long sentMicros() {
    return sentMicros;
  }

  long endedMicros() {
    return endedMicros;
  }

  boolean hasDisconnected() {
    return disconnectedMicros > 0;
  }

  long disconnectedMicros() {
    return disconnectedMicros;
  }

  /** The HTTP status of the answer; 0 if there was none. */
  int status() {
    return status;
  }

  CallOutcome outcome() {
    return outcome;
  }
}
