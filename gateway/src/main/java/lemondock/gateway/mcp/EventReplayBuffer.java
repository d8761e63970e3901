package lemondock.gateway.mcp;

import java.util.Arrays;

/**
 * Keeps the last events of one stream, for a client that loses its connection and reconnects with
 * the last event id it received. Bounded in bytes: the oldest events are evicted first, but never
 * an event that was not yet handed to a connection; once such events fill the buffer, {@link
 * #isFull} tells the stream to pause its producer. Events are stored contiguously in a ring, so
 * that adding one allocates memory only when an array must grow. Does no I/O. Not thread-safe:
 * guarded by the lock of its stream.
 */
final class EventReplayBuffer {
  private static final int INITIAL_BYTES = 256;
  private static final int INITIAL_EVENTS = 8;

  private final int capacityBytes;
  private byte[] ring = new byte[INITIAL_BYTES];

  /** Offset of the oldest event in the ring. */
  private int headOffset;

  private int sizeBytes;

  /** Length in bytes of each event; a ring too. */
  private int[] eventLengths = new int[INITIAL_EVENTS];

  /** Index of the oldest event in {@link #eventLengths}. */
  private int headEvent;

  private int eventCount;
  private long nextNumber = 1;
  private long lastSentNumber;

  /** Receives events that are replayed. */
  interface EventConsumer {
    /** Receives the bytes of one event; the consumer owns the array. */
    void accept(byte[] event);
  }

  /** Creates an empty buffer. Events that were not sent yet may exceed {@code capacityBytes}. */
  EventReplayBuffer(int capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /** Returns the number of the next event; the first is 1. */
  long nextNumber() {
    return nextNumber;
  }

  /** Adds an event, which gets the number {@link #nextNumber} returned before the call. */
  void append(byte[] source, int offset, int length) {
    while (eventCount > 0
        && sizeBytes + length > capacityBytes
        && oldestNumber() <= lastSentNumber) {
      dropOldest();
    }
    ensureCapacity(length);
    int tailOffset = (headOffset + sizeBytes) % ring.length;
    int firstLength = Math.min(length, ring.length - tailOffset);
    System.arraycopy(source, offset, ring, tailOffset, firstLength);
    System.arraycopy(source, offset + firstLength, ring, 0, length - firstLength);
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

  private void copy(int offset, byte[] target, int length) {
    int firstLength = Math.min(length, ring.length - offset);
    System.arraycopy(ring, offset, target, 0, firstLength);
    System.arraycopy(ring, 0, target, firstLength, length - firstLength);
  }

  /** Records that all events so far were handed to a connection. */
  void markSent() {
    lastSentNumber = nextNumber - 1;
  }

  /**
   * Returns whether events that were not yet handed to a connection exceed the capacity, so that
   * the producer should pause.
   */
  boolean isFull() {
    return sizeBytes > capacityBytes && eventCount > 0 && oldestNumber() > lastSentNumber;
  }

  /** Returns whether all events after the one with that number are still in the buffer. */
  boolean contains(long number) {
    return number >= oldestNumber() - 1 && number < nextNumber;
  }

  /**
   * Passes copies of the events after the one with that number to the consumer, oldest first. The
   * buffer must {@linkplain #contains contain} them.
   */
  void replayAfter(long number, EventConsumer consumer) {
    int offset = headOffset;
    for (int i = 0; i < eventCount; i++) {
      int length = eventLengths[(headEvent + i) % eventLengths.length];
      if (oldestNumber() + i > number) {
        byte[] event = new byte[length];
        copy(offset, event, length);
        consumer.accept(event);
      }
      offset = (offset + length) % ring.length;
    }
  }

  /** Returns the total size of the events in the buffer. */
  int sizeBytes() {
    return sizeBytes;
  }
}
