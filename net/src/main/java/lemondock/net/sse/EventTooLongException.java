package lemondock.net.sse;

/** Thrown if a line or the data of an event exceeds the limit of its {@link SseDecoder}. */
public final class EventTooLongException extends IllegalArgumentException {
  private static final long serialVersionUID = 1L;

  private final int maxBytes;

  /** Creates an exception for the part of the stream that exceeds the limit. */
  EventTooLongException(String part, int maxBytes) {
    super(part + " is over " + maxBytes + " bytes");
    this.maxBytes = maxBytes;
  }

  /** The limit, in bytes. */
  public int maxBytes() {
    return maxBytes;
  }
}
