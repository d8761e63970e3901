package lemondock.faultinjection;

import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import lemondock.faultinjection.HttpMessageReader.Message;

/**
 * An attempt that a running server has received completely, up to its last byte. Only the server's
 * connection thread changes it; any thread may read it.
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
  private volatile boolean endedByGateway;

  /** Times at which events of the stream were written, in order. */
  private final Queue<Long> eventMicros = new ConcurrentLinkedQueue<>();

  /** Records a request whose last byte has just been received. */
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

  /** Records that an event of the stream is written now. */
  void markEventWritten() {
    eventMicros.add(MonotonicClock.nowMicros());
  }

  /**
   * Records that the gateway had ended the connection when the server was to write the next event.
   */
  void markEndedByGateway() {
    endedByGateway = true;
  }

  /** Records that the whole answer has been written. */
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

  /** The time left until the deadline, as the gateway stated it in the request. */
  long statedDeadlineMillis() {
    return statedDeadlineMillis;
  }

  /** When the request is over by the deadline that the gateway stated. */
  long deadlineMicros() {
    return arrivedMicros + TimeUnit.MILLISECONDS.toMicros(statedDeadlineMillis);
  }

  AttemptFate fate() {
    return fate;
  }

  boolean isStreamComplete() {
    return streamComplete;
  }

  boolean wasEndedByGateway() {
    return endedByGateway;
  }

  /** When the last event before that time was written; empty if none was. */
  OptionalLong lastEventBefore(long timeMicros) {
    return eventMicros.stream().mapToLong(micros -> micros).filter(at -> at <= timeMicros).max();
  }

  /** When the answer had been written completely, 0 if it has not been. */
  long streamedMicros() {
    return streamedMicros;
  }
}
