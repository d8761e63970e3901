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
  private static final int MAX_HELD_BYTES = 4 * 1024 * 1024;

  private final Selector selector;
  private final SocketChannel source;
  private final SocketChannel destination;
  private final Supplier<LinkFlow> flow;
  private final LongSupplier delayMicros;
  private final Queue<Segment> segments = new ArrayDeque<>();
  private int heldBytes;
  private boolean sourceEnded;
  private boolean endPassed;

  /** Bytes that were read together and may be passed on from a moment on. */
  private record Segment(ByteBuffer bytes, long dueMicros) {
    boolean isDue() {
      return dueMicros <= MonotonicClock.nowMicros();
    }
  }

  /**
   * Makes a stream of a link.
   *
   * @param flow tells what the link does with bytes of this direction now
   * @param delayMicros tells by how much it delays them
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

  /** Whether something waits to be passed on. */
  boolean isPending() {
    return !segments.isEmpty() || sourceEnded && !endPassed;
  }

  boolean passes() {
    return flow.get() == LinkFlow.PASS;
  }

  /** Whether the sender's end was passed on after all its bytes. */
  boolean isEndPassed() {
    return endPassed;
  }

  /** Takes what has come; returns false if the sender's side is broken. */
  boolean read(ByteBuffer buffer) {
    try {
      while (isReading()) {
        buffer.clear();
        int count = source.read(buffer);
        sourceEnded = count < 0;
        if (count <= 0) {
          return true;
        }
        hold(buffer.flip());
      }
      return true;
    } catch (IOException e) {
      sourceEnded = true;
      return false;
    } finally {
      updateInterest();
    }
  }

  private boolean isReading() {
    return !sourceEnded && heldBytes < MAX_HELD_BYTES;
  }

  private void hold(ByteBuffer bytes) {
    ByteBuffer copy = ByteBuffer.allocate(bytes.remaining()).put(bytes).flip();
    heldBytes += copy.remaining();
    segments.add(new Segment(copy, MonotonicClock.nowMicros() + delayMicros.getAsLong()));
  }

  /** The selector would report an end, and bytes that are not taken, again and again. */
  private void updateInterest() {
    SelectionKey key = source.keyFor(selector);
    if (key != null && key.isValid()) {
      key.interestOps(isReading() ? SelectionKey.OP_READ : 0);
    }
  }

  /** Passes on what is due; returns false if the receiver's side is broken. */
  boolean write() {
    try {
      while (passes() && !segments.isEmpty() && segments.peek().isDue()) {
        ByteBuffer bytes = segments.peek().bytes();
        heldBytes -= destination.write(bytes);
        if (bytes.hasRemaining()) {
          return true;
        }
        segments.poll();
      }
      passEnd();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void passEnd() throws IOException {
    if (sourceEnded && !endPassed && segments.isEmpty() && passes()) {
      endPassed = true;
      destination.shutdownOutput();
    }
  }
}
