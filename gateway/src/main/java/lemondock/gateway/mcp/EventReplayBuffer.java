package lemondock.gateway.mcp;

import java.util.Arrays;

/**
 * The last events of one stream, for a client whose connection breaks and who reconnects with the
 * last event id it saw. Bounded by bytes: the oldest events are dropped first, but never one that
 * no connection has taken; such events say when to stop producing. Events lie one behind the other
 * in a ring, so that a further one costs no memory of its own. No I/O. Not thread safe: its
 * stream's lock guards it.
 */
final class EventReplayBuffer {
  private static final int INITIAL_BYTES = 256;
  private static final int INITIAL_EVENTS = 8;

  private final int capacityBytes;
  private byte[] ring = new byte[INITIAL_BYTES];

  /** Where the oldest event begins in the ring. */
  private int headOffset;

  private int sizeBytes;

  /** Bytes of each event, in a ring of its own. */
  private int[] eventLengths = new int[INITIAL_EVENTS];

  /** The oldest event's place in the ring of lengths. */
  private int headEvent;

  private int eventCount;
  private long nextNumber = 1;
  private long lastSentNumber;

  /** Receives events that are replayed. */
  interface EventConsumer {
    /** One event's bytes; the array is the consumer's own. */
    void event(byte[] event);
  }

  /** Makes an empty buffer. */
  EventReplayBuffer(int capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** The number that the next event will have. */
  long nextNumber() {
    return nextNumber;
  }

  /** Keeps an event; its number is {@link #nextNumber} as it was before. */
  void append(byte[] source, int offset, int length) {
    while (eventCount > 0
        && sizeBytes + length > capacityBytes
        && oldestNumber() <= lastSentNumber) {
      dropOldest();
    }
    ensureCapacity(length);
    int to = (headOffset + sizeBytes) % ring.length;
    int first = Math.min(length, ring.length - to);
    System.arraycopy(source, offset, ring, to, first);
    System.arraycopy(source, offset + first, ring, 0, length - first);
    sizeBytes += length;
    eventLengths[(headEvent + eventCount) % eventLengths.length] = length;
    eventCount++;
    nextNumber++;
  }

  private long oldestNumber() {
    return nextNumber - eventCount;
  }

  private void dropOldest() {
    int length = eventLengths[headEvent];
    headOffset = (headOffset + length) % ring.length;
    sizeBytes -= length;
    headEvent = (headEvent + 1) % eventLengths.length;
    eventCount--;
  }

  private void ensureCapacity(int length) {
    if (sizeBytes + length > ring.length) {
      byte[] larger =
          new byte[Math.max(sizeBytes + length, Math.min(capacityBytes, 2 * ring.length))];
      copy(headOffset, larger, sizeBytes);
      ring = larger;
      headOffset = 0;
    }
    if (eventCount == eventLengths.length) {
      int[] larger = Arrays.copyOf(eventLengths, 2 * eventCount);
      for (int i = 0; i < eventCount; i++) {
        larger[i] = eventLengths[(headEvent + i) % eventCount];
      }
      eventLengths = larger;
      headEvent = 0;
    }
  }

  private void copy(int from, byte[] to, int length) {
    int first = Math.min(length, ring.length - from);
    System.arraycopy(ring, from, to, 0, first);
    System.arraycopy(ring, 0, to, first, length - first);
  }

  /** All events up to now were handed to a connection. */
  void markSent() {
    lastSentNumber = nextNumber - 1;
  }

  /** Whether events that no connection has taken fill it: no more should be produced. */
  boolean isFull() {
    return sizeBytes > capacityBytes && eventCount > 0 && oldestNumber() > lastSentNumber;
  }

  /** Whether all events after a number are still kept. */
  boolean contains(long number) {
    return number >= oldestNumber() - 1 && number < nextNumber;
  }

  /** Copies the events after a number that it {@link #contains}, oldest first. */
  void replayAfter(long number, EventConsumer consumer) {
    int from = headOffset;
    for (int i = 0; i < eventCount; i++) {
      int length = eventLengths[(headEvent + i) % eventLengths.length];
      if (oldestNumber() + i > number) {
        byte[] event = new byte[length];
        copy(from, event, length);
        consumer.event(event);
      }
      from = (from + length) % ring.length;
    }
  }

  /** Bytes of the events that are kept. */
  int sizeBytes() {
    return sizeBytes;
  }
}
