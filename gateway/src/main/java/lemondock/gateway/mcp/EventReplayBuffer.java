package lemondock.gateway.mcp;

import java.util.Arrays;

/**
 * The last events of one stream, for a client whose connection breaks and who comes again with the
 * last id it saw. Bounded by bytes: the oldest go first, but for those that no connection has
 * taken, which say when to stop producing. Events lie one behind the other in a ring, so that one
 * more costs no memory of its own. No I/O.
 */
public final class EventReplayBuffer {
  private static final int FIRST_BYTES = 256;
  private static final int FIRST_EVENTS = 8;

  private final int most;
  private byte[] ring = new byte[FIRST_BYTES];
  private int head;
  private int bytes;
  private int[] lengths = new int[FIRST_EVENTS];
  private int headEvent;
  private int events;
  private long next = 1;
  private long sent;

  /** Takes events out again. */
  public interface EventConsumer {
    /** One event's bytes; the array is the taker's own. */
    void event(byte[] event);
  }

  /** A log of so many bytes. */
  public EventReplayBuffer(int most) {
    this.most = most;
  }

  /** The number that the next event will have. */
  public long nextNumber() {
    return next;
  }

  /** Keeps an event; its number is {@link #nextNumber} as it was before. */
  public void append(byte[] from, int at, int length) {
    while (events > 0 && bytes + length > most && oldest() <= sent) {
      dropOldest();
    }
    room(length);
    int to = (head + bytes) % ring.length;
    int first = Math.min(length, ring.length - to);
    System.arraycopy(from, at, ring, to, first);
    System.arraycopy(from, at + first, ring, 0, length - first);
    bytes += length;
    lengths[(headEvent + events) % lengths.length] = length;
    events++;
    next++;
  }

  private long oldest() {
    return next - events;
  }

  private void dropOldest() {
    int length = lengths[headEvent];
    head = (head + length) % ring.length;
    bytes -= length;
    headEvent = (headEvent + 1) % lengths.length;
    events--;
  }

  private void room(int length) {
    if (bytes + length > ring.length) {
      byte[] larger = new byte[Math.max(bytes + length, Math.min(most, 2 * ring.length))];
      copy(head, larger, bytes);
      ring = larger;
      head = 0;
    }
    if (events == lengths.length) {
      int[] larger = Arrays.copyOf(lengths, 2 * events);
      for (int i = 0; i < events; i++) {
        larger[i] = lengths[(headEvent + i) % events];
      }
      lengths = larger;
      headEvent = 0;
    }
  }

  private void copy(int from, byte[] to, int length) {
    int first = Math.min(length, ring.length - from);
    System.arraycopy(ring, from, to, 0, first);
    System.arraycopy(ring, 0, to, first, length - first);
  }

  /** Says that all events up to now were handed to a connection. */
  public void markSent() {
    sent = next - 1;
  }

  /** Whether events that no connection has taken fill the log: no more should be produced. */
  public boolean full() {
    return bytes > most && events > 0 && oldest() > sent;
  }

  /** Whether all events after a number are still kept. */
  public boolean keeps(long number) {
    return number >= oldest() - 1 && number < next;
  }

  /** Takes out the events after a number that it {@link #keeps}, oldest first. */
  public void after(long number, EventConsumer taker) {
    int from = head;
    for (int i = 0; i < events; i++) {
      int length = lengths[(headEvent + i) % lengths.length];
      if (oldest() + i > number) {
        byte[] event = new byte[length];
        copy(from, event, length);
        taker.event(event);
      }
      from = (from + length) % ring.length;
    }
  }

  /** Bytes kept. */
  public int bytes() {
    return bytes;
  }
}
