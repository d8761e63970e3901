package lemondock.net.nio;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;
import lemondock.net.DelayProbe;

/**
 * A loopback connection to itself: a byte put in at one end waits at the other like what clients
 * send. The kernel's list of ready sockets is in order of coming.
 */
final class ShardDelayProbe implements DelayProbe, CompletionHandler<Integer, Void> {
  private static final long CONNECT_SECONDS = 10;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel end;
  private final SocketChannel other;
  private final ByteBuffer out = ByteBuffer.allocate(1);
  private final ByteBuffer in = ByteBuffer.allocate(1);
  private volatile long sentAt;
  private boolean waiting;
  private LongConsumer told;

  ShardDelayProbe(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    end = AsynchronousSocketChannel.open(group);
    try (ServerSocketChannel port = ServerSocketChannel.open()) {
      port.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
      Future<Void> connected = end.connect(port.getLocalAddress());
      other = port.accept();
      connected.get(CONNECT_SECONDS, TimeUnit.SECONDS);
      other.configureBlocking(false);
      other.setOption(StandardSocketOptions.TCP_NODELAY, true);
      if (!other.getRemoteAddress().equals(end.getLocalAddress())) {
        throw new IOException("somebody else came to the port of a probe");
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a probe cannot connect to itself", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
    end.read(in, null, this);
  }

  @Override
  public long measure(LongConsumer waited) {
    if (waiting) {
      return Math.max(1, loop.now() - sentAt);
    }
    waiting = true;
    told = waited;
    sentAt = loop.now();
    out.clear();
    try {
      other.write(out);
    } catch (IOException e) {
      close(); // it tells nothing any more
    }
    return 0;
  }

  /** On the shard's thread. */
  @Override
  public void completed(Integer count, Void attachment) {
    final long took = loop.now() - sentAt;
    if (count < 0) {
      return;
    }
    in.clear();
    end.read(in, null, this);
    loop.executeHere(
        () -> {
          waiting = false;
          told.accept(took);
        });
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    close();
  }

  void close() {
    ChannelSupport.closeQuietly(end);
    ChannelSupport.closeQuietly(other);
  }
}
