package lemondock.net.sse;

/** Takes the events of an {@link SseDecoder} where they lie. */
public interface SseEventSink {
  /**
   * Takes one event. The array is the decoder's own and only valid until this returns.
   *
   * @param id the last event id in force, null if none was given
   * @param type {@code message} unless named
   * @param data holds the data lines, joined by line feeds, in UTF-8
   * @param length how many bytes of it count
   */
  void accept(String id, String type, byte[] data, int length);
}
