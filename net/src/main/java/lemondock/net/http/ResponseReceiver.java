package lemondock.net.http;

import lemondock.net.sse.SseEvent;

/**
 * Hears what becomes of a request: a head, then events or one body, then completion; or a failure
 * at any point. On the loop, unless a method says otherwise.
 */
public interface ResponseReceiver {
  /**
   * Turns an event of the stream into what {@link #onEvent} gets, on an I/O thread; must not touch
   * the loop's state.
   */
  default Object mapEvent(SseEvent event) {
    return event;
  }

  /**
   * Consumes an event's data (UTF-8) on the I/O thread where it lies, so that the loop never hears
   * of it. It is offered events only while none before them waits for the loop.
   *
   * @param data the decoder's own array, valid until this returns
   * @param length how many bytes of it count
   * @return false if it cannot be consumed here; then the event goes through {@link #mapEvent}
   */
  default boolean consumeInPlace(byte[] data, int length) {
    return false;
  }

  /** The response's status and headers. */
  default void onHead(HttpEvent.ResponseHead head) {}

  /** One event of an event stream, as {@link #mapEvent} made it. */
  default void onEvent(Object mapped) {}

  /** The whole body of a response that is no event stream. */
  default void onBody(byte[] bytes) {}

  /** The response is complete. */
  void onComplete();

  /**
   * No complete response will come; nothing follows.
   *
   * @param reason the address and the cause, for log lines
   */
  void onFailure(RequestFailure failure, String reason);
}
