package lemondock.benchmark;

import java.util.concurrent.TimeUnit;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;

/**
 * Decides whether one call is in time: its first token must arrive within its class's latency
 * objective, and the answer must end within a second of the first token. Created when its request
 * is sent; used on one event loop.
 */
final class OverloadCallReceiver implements ResponseReceiver {
  private static final long MAX_STREAM_MICROS = TimeUnit.SECONDS.toMicros(1);

  private final OverloadOutcome outcome;
  private final OverloadClass requestClass;
  private final int slot;
  private final long sentMicros = nowMicros();
  private long firstTokenMicros;
  private boolean complete;

  /** What an event of the stream contains. */
  private enum EventKind {
    TOKEN,
    RESULT,
    OTHER
  }

  /**
   * Creates a receiver; the latency of its call is measured from now on.
   *
   * @param slot the time slot of {@code outcome} in which the call is sent
   */
  OverloadCallReceiver(OverloadOutcome outcome, OverloadClass requestClass, int slot) {
    this.outcome = outcome;
    this.requestClass = requestClass;
    this.slot = slot;
  }

  private static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  @Override
  public Object mapEvent(SseEvent event) {
    String data = event.data();
    if (data.contains("\"error\"")) {
      return EventKind.OTHER;
    }
    if (data.contains("\"result\"")) {
      return EventKind.RESULT;
    }
    return data.contains("progress") ? EventKind.TOKEN : EventKind.OTHER;
  }

  @Override
  public void onEvent(Object mapped) {
    if (mapped == EventKind.TOKEN && firstTokenMicros == 0) {
      firstTokenMicros = nowMicros();
    }
    complete |= mapped == EventKind.RESULT;
  }

  @Override
  public void onComplete() {
    if (!complete) {
      outcome.countRejected();
    } else if (isInTime()) {
      outcome.countInTime(requestClass, slot);
    } else {
      outcome.countLate(slot);
    }
  }

  private boolean isInTime() {
    return firstTokenMicros - sentMicros <= requestClass.latencyObjectiveMicros()
        && nowMicros() - firstTokenMicros <= MAX_STREAM_MICROS;
  }

  @Override
  public void onFailure(RequestFailure failure, String reason) {
    if (firstTokenMicros == 0) {
      outcome.countRejected();
    } else {
      outcome.countBroken();
    }
  }
}
