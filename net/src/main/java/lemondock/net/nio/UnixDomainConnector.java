package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;
import lemondock.net.Loop;

/**
 * Connections over sockets of the file system, for control traffic of small volume. Java has no
 * asynchronous channels for them, so these do not block and are looked after by a timer of the
 * loop, and only while there is something to do.
 */
public final class UnixDomainConnector {
  private static final long LOOK = 5_000;
  private static final long HIGH_MARK = 64 * 1024;
  private static final long LOW_MARK = 16 * 1024;
  private static final int READ_BYTES = 4 * 1024;

  private final Loop loop;

  /** Makes a connector whose handlers are called on the loop. */
  public UnixDomainConnector(Loop loop) {
    this.loop = loop;
  }

  /**
   * Connects, then calls the handler; a failure is its {@code closed} without a {@code connected}.
   * Loop thread only.
   */
  public void connect(Path path, Connection.Handler handler) {
    SocketChannel channel;
    try {
      channel = SocketChannel.open(StandardProtocolFamily.UNIX);
      try {
        channel.configureBlocking(false);
        channel.connect(
            UnixDomainSocketAddress.of(path)); // done or refused at once, there is no network
        if (!channel.finishConnect()) {
          throw new IOException("no connection to " + path + " at once");
        }
      } catch (IOException | RuntimeException e) {
        channel.close();
        throw e instanceof IOException io ? io : new IOException(e);
      }
    } catch (IOException e) {
      loop.execute(() -> handler.closed(e));
      return;
    }
    Pipe pipe = new Pipe(channel, handler);
    loop.execute(() -> handler.connected(pipe));
  }

  private final class Pipe implements Connection {
    private final SocketChannel channel;
    private final Handler handler;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private boolean looking;
    private boolean wantsRead;
    private boolean closing;
    private boolean closed;
    private boolean wasHigh;
    private long pending;
    private long flushed;

    Pipe(SocketChannel channel, Handler handler) {
      this.channel = channel;
      this.handler = handler;
    }

    @Override
    public void read() {
      wantsRead = true;
      lookLater();
    }

    @Override
    public void write(ByteBuffer bytes) {
      if (!closed && !closing && bytes.hasRemaining()) {
        queue.add(bytes);
        pending += bytes.remaining();
        wasHigh |= pending > HIGH_MARK;
        lookLater();
      }
    }

    private void lookLater() {
      if (!looking && !closed) {
        looking = true;
        loop.schedule(LOOK, this::look);
      }
    }

    private void look() {
      looking = false;
      if (closed) {
        return;
      }
      try {
        flush();
        if (wantsRead) {
          take();
        }
      } catch (IOException e) {
        finish(e);
        return;
      }
      if (closing && queue.isEmpty()) {
        finish(null);
      } else if (!queue.isEmpty() || wantsRead) {
        lookLater();
      }
    }

    private void flush() throws IOException {
      while (!queue.isEmpty()) {
        int count = channel.write(queue.peek());
        pending -= count;
        flushed += count;
        if (queue.peek().hasRemaining()) {
          break;
        }
        queue.poll();
      }
      if (wasHigh && pending <= LOW_MARK) {
        wasHigh = false;
        handler.writeQueueDrained();
      }
    }

    private void take() throws IOException {
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
      return pending;
    }

    @Override
    public long flushedBytes() {
      return flushed;
    }

    @Override
    public void close() {
      closing = true;
      wantsRead = false;
      lookLater();
    }

    @Override
    public void abort() {
      finish(null);
    }

    private void finish(IOException cause) {
      if (!closed) {
        closed = true;
        queue.clear();
        pending = 0;
        try {
          channel.close();
        } catch (IOException e) {
          // given up in any case
        }
        loop.execute(() -> handler.closed(cause));
      }
    }

    @Override
    public InetSocketAddress remoteAddress() {
      return null;
    }
  }
}
