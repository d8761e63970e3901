package lemondock.net.sse;

/** Receives the events of an {@link SseDecoder} without a copy of their data. */
public interface SseEventSink {
  /**
   * Accepts one event. The array belongs to the decoder and is only valid until this method
   * returns.
   *
   * @param id the last event id received on the stream; null if there was none
   * @param type the event type; {@code message} if none was given
   * @param data array that begins with the data lines, joined by line feeds, in UTF-8
   * @param length number of bytes of the array that belong to the event
   */
  void accept(String id, String type, byte[] data, int length);
}
