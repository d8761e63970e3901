package lemondock.net.http;

import lemondock.net.sse.SseEvent;

/**
 * Receives the response to a request: its head, then events or one body, then completion; or a
 * failure at any point. Called on the loop, unless a method says otherwise.
 */
public interface ResponseReceiver {
  /**
   * Maps an event of the stream to the object that {@link #onEvent} receives. Called on an I/O
   * thread; must not touch the state of the loop.
   */
  default Object mapEvent(SseEvent event) {
    return event;
  }

  /**
   * Consumes the data of an event (UTF-8) on the I/O thread without a copy, so that the event never
   * reaches the loop. An event is offered only while no earlier one is on its way to the loop.
   *
   * @param data array of the decoder, valid until this method returns
   * @param length number of bytes of the array that belong to the event
   * @return false if the event cannot be consumed here; it is then passed to {@link #mapEvent}
   */
  default boolean consumeInPlace(byte[] data, int length) {
    return false;
  }

  /**
   * Bytes of an event were received, and the event is not complete. Called on an I/O thread, like
   * {@link #mapEvent}.
   */
  default void eventInProgress() {}

  /** Receives the status and headers of the response. */
  default void onHead(HttpEvent.ResponseHead head) {}

  /** Receives one event of an event stream, as mapped by {@link #mapEvent}. */
  default void onEvent(Object mapped) {}

  /** Receives the complete body of a response that is not an event stream. */
  default void onBody(byte[] bytes) {}

  /** The response is complete; no further notification follows. */
  void onComplete();

  /**
   * The request failed without a complete response; no further notification follows.
   *
   * @param reason the address and the cause, for log lines
   */
  void onFailure(RequestFailure failure, String reason);
}
