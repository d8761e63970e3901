package lemondock.net.sse;

/** A line or an event's data that exceeds the bound of its {@link SseDecoder}. */
public final class EventTooLongException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final int maxBytes;

  /** Says which part of the stream is over that many bytes. */
  EventTooLongException(String part, int maxBytes) {
    super(part + " is over " + maxBytes + " bytes");
    this.maxBytes = maxBytes;
  }

  /** The bound, in bytes. */
  public int maxBytes() {
    return maxBytes;
  }
}
