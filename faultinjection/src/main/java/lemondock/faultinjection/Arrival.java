package lemondock.faultinjection;

import lemondock.faultinjection.HttpMessageReader.Message;

/**
 * An attempt that has reached a running server with its last byte. Written by the server's
 * connection thread only, read by any.
 */
final class Arrival {
  private final String requestId;
  private final String serverId;
  private final ServerRole role;
  private final long firstByteMicros;
  private final long arrivedMicros;
  private final long statedDeadlineMillis;
  private volatile AttemptFate fate = AttemptFate.UNDER_WAY;
  private volatile boolean streamComplete;
  private volatile long streamedMicros;

  /** Records a request that has arrived just now. */
  Arrival(String serverId, ServerRole role, Message request) {
    this.requestId = request.header("x-request-id").orElseThrow();
    this.serverId = serverId;
    this.role = role;
    this.firstByteMicros = request.firstByteMicros();
    this.arrivedMicros = MonotonicClock.nowMicros();
    this.statedDeadlineMillis = Long.parseLong(request.header("x-deadline-ms").orElseThrow());
  }

  void setFate(AttemptFate fate) {
    this.fate = fate;
  }

  /** Records that the answer was written to its end. */
  void markStreamComplete() {
    streamedMicros = MonotonicClock.nowMicros();
    streamComplete = true;
  }

  String requestId() {
    return requestId;
  }

  String serverId() {
    return serverId;
  }

  ServerRole role() {
    return role;
  }

  long firstByteMicros() {
    return firstByteMicros;
  }

  long arrivedMicros() {
    return arrivedMicros;
  }

  /** The time left until the deadline as the gateway stated it in the request. */
  long statedDeadlineMillis() {
    return statedDeadlineMillis;
  }

  AttemptFate fate() {
    return fate;
  }

  boolean isStreamComplete() {
    return streamComplete;
  }

  /** When the answer was written to its end, 0 if it was not. */
  long streamedMicros() {
    return streamedMicros;
  }
}
