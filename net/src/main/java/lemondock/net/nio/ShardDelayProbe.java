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
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongConsumer;
import lemondock.net.DelayProbe;

/**
 * Measures the delay of a shard's I/O thread with a loopback connection to itself. A byte written
 * at one end waits at the other end as long as client input does, because the kernel lists ready
 * sockets in order of arrival.
 */
final class ShardDelayProbe implements DelayProbe, CompletionHandler<Integer, Void> {
  private static final long CONNECT_TIMEOUT_SECONDS = 10;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel shardEnd;
  private final SocketChannel loopEnd;
  private final ByteBuffer outBuffer = ByteBuffer.allocate(1);
  private final ByteBuffer inBuffer = ByteBuffer.allocate(1);

  /** I/O thread only. */
  private final TransferRetry retry = new TransferRetry();

  /** Whether the probe measures nothing any more. Any thread. */
  private volatile boolean closed;

  /** Set on the loop, read on any thread. */
  private volatile long sentAtMicros;

  // All fields below: loop thread only.
  /** Whether a byte was sent that the shard's thread has not processed yet. */
  private boolean byteInFlight;

  /** Receives the delay of the byte in flight. */
  private LongConsumer onDelayMeasured;

  ShardDelayProbe(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    shardEnd = AsynchronousSocketChannel.open(group);
    try (ServerSocketChannel listener = ServerSocketChannel.open()) {
      listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
      Future<Void> connected = shardEnd.connect(listener.getLocalAddress());
      loopEnd = listener.accept();
      connected.get(CONNECT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      loopEnd.configureBlocking(false);
      loopEnd.setOption(StandardSocketOptions.TCP_NODELAY, true);
      if (!loopEnd.getRemoteAddress().equals(shardEnd.getLocalAddress())) {
        throw new IOException("delay probe accepted a connection that is not its own");
      }
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("delay probe cannot connect to its own loopback port", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while connecting a delay probe", e);
    }
    shardEnd.read(inBuffer, null, this);
  }

  @Override
  public long measure(LongConsumer onDelayMicros) {
    if (closed) {
      return 0;
    }
    if (byteInFlight) {
      return Math.max(1, loop.now() - sentAtMicros);
    }
    byteInFlight = true;
    onDelayMeasured = onDelayMicros;
    sentAtMicros = loop.now();
    outBuffer.clear();
    try {
      byteInFlight = loopEnd.write(outBuffer) > 0;
    } catch (IOException e) {
      byteInFlight = false; // this measurement is skipped
    }
    return 0;
  }

  /** Reports the delay of a byte that has arrived. Runs on the shard's I/O thread. */
  @Override
  public void completed(Integer count, Void attachment) {
    final long delayMicros = loop.now() - sentAtMicros;
    if (count < 0) {
      close();
      return;
    }
    retry.succeeded();
    inBuffer.clear();
    shardEnd.read(inBuffer, null, this);
    loop.executeInline(
        () -> {
          byteInFlight = false;
          onDelayMeasured.accept(delayMicros);
        });
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    OptionalLong delayMicros = retry.delayAfter(cause, loop.now());
    if (closed || delayMicros.isEmpty()) {
      close();
      return;
    }
    loop.executeInline(() -> loop.schedule(delayMicros.getAsLong(), this::readAgain));
  }

  private void readAgain() {
    loop.runAfterTurn(
        () -> {
          if (!closed) {
            shardEnd.read(inBuffer, null, this);
          }
        });
  }

  void close() {
    closed = true;
    ChannelSupport.closeQuietly(shardEnd);
    ChannelSupport.closeQuietly(loopEnd);
  }
}
