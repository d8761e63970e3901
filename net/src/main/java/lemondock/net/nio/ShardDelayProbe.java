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
 * Measures the delay of a shard's I/O thread by a loopback connection to itself: a byte written at
 * one end waits at the other like what clients send, for the kernel's list of ready sockets is in
 * order of coming.
 */
final class ShardDelayProbe implements DelayProbe, CompletionHandler<Integer, Void> {
  private static final long CONNECT_SECONDS = 10;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel shardEnd;
  private final SocketChannel loopEnd;
  private final ByteBuffer outBuffer = ByteBuffer.allocate(1);
  private final ByteBuffer inBuffer = ByteBuffer.allocate(1);

  /** Set on the loop, read on any thread. */
  private volatile long sentAtMicros;

  // Loop thread only, each from here on:
  /** A byte was sent and the shard's thread has not come to it. */
  private boolean waiting;

  /** Hears of the byte in progress. */
  private LongConsumer onDelay;

  ShardDelayProbe(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    shardEnd = AsynchronousSocketChannel.open(group);
    try (ServerSocketChannel port = ServerSocketChannel.open()) {
      port.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
      Future<Void> connected = shardEnd.connect(port.getLocalAddress());
      loopEnd = port.accept();
      connected.get(CONNECT_SECONDS, TimeUnit.SECONDS);
      loopEnd.configureBlocking(false);
      loopEnd.setOption(StandardSocketOptions.TCP_NODELAY, true);
      if (!loopEnd.getRemoteAddress().equals(shardEnd.getLocalAddress())) {
        throw new IOException("somebody else came to the port of a probe");
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("a probe cannot connect to itself", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
    shardEnd.read(inBuffer, null, this);
  }

  @Override
  public long measure(LongConsumer onDelayMicros) {
    if (waiting) {
      return Math.max(1, loop.now() - sentAtMicros);
    }
    waiting = true;
    onDelay = onDelayMicros;
    sentAtMicros = loop.now();
    outBuffer.clear();
    try {
      loopEnd.write(outBuffer);
    } catch (IOException e) {
      close(); // it tells nothing any more
    }
    return 0;
  }

  /** On the shard's thread. */
  @Override
  public void completed(Integer count, Void attachment) {
    final long delayMicros = loop.now() - sentAtMicros;
    if (count < 0) {
      return;
    }
    inBuffer.clear();
    shardEnd.read(inBuffer, null, this);
    loop.executeHere(
        () -> {
          waiting = false;
          onDelay.accept(delayMicros);
        });
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    close();
  }

  void close() {
    ChannelSupport.closeQuietly(shardEnd);
    ChannelSupport.closeQuietly(loopEnd);
  }
}
