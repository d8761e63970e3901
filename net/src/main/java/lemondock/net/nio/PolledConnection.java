package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.Loop;

/** A connection over a non-blocking channel that is polled by a timer. Loop thread only. */
final class PolledConnection implements Connection {
  private static final long POLL_INTERVAL_MICROS = 5_000;
  private static final long LINGER_MICROS = 500_000;
  private static final long HIGH_WATER_MARK_BYTES = 64 * 1024;
  private static final long LOW_WATER_MARK_BYTES = 16 * 1024;
  private static final int READ_BYTES = 4 * 1024;

  private final Loop loop;
  private final SocketChannel channel;
  private final Handler handler;

  // All fields below: loop thread only.
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private final TransferRetry retry = new TransferRetry();

  private boolean pollScheduled;
  private boolean wantsRead;
  private boolean closing;

  /** Whether all output is sent and input is read and discarded until the peer closes too. */
  private boolean lingering;

  private boolean closed;
  private boolean aboveHighWaterMark;
  private long pendingBytes;
  private long flushedBytes;

  PolledConnection(Loop loop, SocketChannel channel, Handler handler) {
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
  }

  @Override
  public void read() {
    wantsRead = true;
    pollLater();
  }

  @Override
  public void write(ByteBuffer bytes) {
    if (!closed && !closing && bytes.hasRemaining()) {
      queue.add(bytes);
      pendingBytes += bytes.remaining();
      aboveHighWaterMark |= pendingBytes > HIGH_WATER_MARK_BYTES;
      pollLater();
    }
  }

  private void pollLater() {
    if (!pollScheduled && !closed) {
      pollScheduled = true;
      loop.schedule(POLL_INTERVAL_MICROS, this::poll);
    }
  }

  private void poll() {
    pollScheduled = false;
    if (closed) {
      return;
    }
    try {
      flush();
      if (wantsRead) {
        readBatch();
      }
      if (closing && queue.isEmpty()) {
        linger();
      }
      retry.succeeded();
    } catch (IOException e) {
      if (retry.delayAfter(e, loop.now()).isEmpty()) {
        finish(e);
        return;
      }
    }
    if (!queue.isEmpty() || wantsRead || lingering) {
      pollLater();
    }
  }

  /**
   * Shuts down output, then reads and discards what the peer still sends until it closes too or the
   * linger time is over. After an immediate close, a peer that responds to what it reads would fail
   * at its next response and might not read the rest.
   */
  private void linger() throws IOException {
    if (!lingering) {
      lingering = true;
      channel.shutdownOutput();
      loop.schedule(LINGER_MICROS, () -> finish(null));
    }
    ByteBuffer discarded = ByteBuffer.allocate(READ_BYTES);
    int count = channel.read(discarded);
    while (count > 0) {
      count = channel.read(discarded.clear());
    }
    if (count < 0) {
      finish(null);
    }
  }

  private void flush() throws IOException {
    while (!queue.isEmpty()) {
      int count = channel.write(queue.peek());
      pendingBytes -= count;
      flushedBytes += count;
      if (queue.peek().hasRemaining()) {
        break;
      }
      queue.poll();
    }
    if (aboveHighWaterMark && pendingBytes <= LOW_WATER_MARK_BYTES) {
      aboveHighWaterMark = false;
      handler.writeQueueDrained();
    }
  }

  private void readBatch() throws IOException {
    ByteBuffer bytes = ByteBuffer.allocate(READ_BYTES);
    int count = channel.read(bytes);
    if (count < 0) {
      wantsRead = false;
      handler.inputEnded();
    } else if (count > 0) {
      wantsRead = false;
      List<Object> events = new ArrayList<>();
      handler.decode(bytes.flip(), events);
      handler.received(events);
    }
  }

  @Override
  public long pendingBytes() {
    return pendingBytes;
  }

  @Override
  public long flushedBytes() {
    return flushedBytes;
  }

  @Override
  public void close() {
    closing = true;
    wantsRead = false;
    pollLater();
  }

  @Override
  public void abort() {
    finish(null);
  }

  private void finish(IOException cause) {
    if (!closed) {
      closed = true;
      queue.clear();
      pendingBytes = 0;
      ChannelSupport.closeQuietly(channel);
      loop.execute(() -> handler.closed(cause));
    }
  }

  /** Always null: a Unix domain socket has no internet address. */
  @Override
  public InetSocketAddress remoteAddress() {
    return null;
  }
}
