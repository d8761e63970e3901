package lemondock.faultinjection;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** One direction of a proxied connection. Used by the proxy's thread only. */
final class ProxyStream {
  private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

  private final Selector selector;
  private final SocketChannel source;
  private final SocketChannel destination;
  private final Supplier<LinkFlow> flow;
  private final LongSupplier delayMicros;
  private final Queue<Segment> segments = new ArrayDeque<>();
  private int bufferedBytes;
  private boolean sourceEnded;
  private boolean endForwarded;

  /** Bytes that were read together, and the earliest time at which they may be forwarded. */
  private record Segment(ByteBuffer bytes, long dueMicros) {
    boolean isDue() {
      return dueMicros <= MonotonicClock.nowMicros();
    }
  }

  /**
   * Creates a stream for one direction of a link.
   *
   * @param flow returns how the link currently treats bytes in this direction
   * @param delayMicros returns by how much the link currently delays them
   */
  ProxyStream(
      Selector selector,
      SocketChannel source,
      SocketChannel destination,
      Supplier<LinkFlow> flow,
      LongSupplier delayMicros) {
    this.selector = selector;
    this.source = source;
    this.destination = destination;
    this.flow = flow;
    this.delayMicros = delayMicros;
  }

  /** Whether bytes or the end of the stream wait to be forwarded. */
  boolean isPending() {
    return !segments.isEmpty() || sourceEnded && !endForwarded;
  }

  boolean isPassing() {
    return flow.get() == LinkFlow.PASS;
  }

  /** Whether the sender's end of stream has been forwarded, after all its bytes. */
  boolean isEndForwarded() {
    return endForwarded;
  }

  /** Reads and buffers the available bytes; returns false if the source is broken. */
  boolean read(ByteBuffer buffer) {
    try {
      while (canRead()) {
        buffer.clear();
        int count = source.read(buffer);
        sourceEnded = count < 0;
        if (count <= 0) {
          return true;
        }
        enqueue(buffer.flip());
      }
      return true;
    } catch (IOException e) {
      sourceEnded = true;
      return false;
    } finally {
      updateReadInterest();
    }
  }

  private boolean canRead() {
    return !sourceEnded && bufferedBytes < MAX_BUFFERED_BYTES;
  }

  private void enqueue(ByteBuffer bytes) {
    ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
    bufferedBytes += copy.remaining();
    segments.add(new Segment(copy, MonotonicClock.nowMicros() + delayMicros.getAsLong()));
  }

  /**
   * Deregisters interest in reads while nothing can be read: the selector would report an end of
   * stream, or bytes that do not fit the buffer, again on every call.
   */
  private void updateReadInterest() {
    SelectionKey key = source.keyFor(selector);
    if (key != null && key.isValid()) {
      key.interestOps(canRead() ? SelectionKey.OP_READ : 0);
    }
  }

  /** Forwards what is due; returns false if the destination is broken. */
  boolean write() {
    try {
      while (isPassing() && !segments.isEmpty() && segments.peek().isDue()) {
        ByteBuffer bytes = segments.peek().bytes();
        bufferedBytes -= destination.write(bytes);
        if (bytes.hasRemaining()) {
          return true;
        }
        segments.poll();
      }
      forwardEnd();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void forwardEnd() throws IOException {
    if (sourceEnded && !endForwarded && segments.isEmpty() && isPassing()) {
      endForwarded = true;
      destination.shutdownOutput();
    }
  }
}
