package lemondock.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * Pauses a gateway as SIGSTOP does a process: its loop and its I/O threads block wherever they next
 * come to. The kernel goes on accepting connections and taking bytes for it. One process holds all
 * gateways of a scenario, so a signal would not do.
 */
final class PausableNetwork implements Network {
  /** A paused gateway is resumed after this even if nobody does, so that no test hangs. */
  private static final long MAX_PAUSE_SECONDS = 30;

  private static final long WAIT_MS = 1_000;

  private final Network network;
  private final Loop loop;

  // Under the lock of this object.
  private boolean paused;
  private long pausedSinceMicros;

  PausableNetwork(Network network, Loop loop) {
    this.network = network;
    this.loop = loop;
  }

  /** Pauses from the loop's next task on; {@code onPaused} runs on the loop just before. */
  void pause(Runnable onPaused) {
    loop.execute(
        () -> {
          synchronized (this) {
            paused = true;
            pausedSinceMicros = loop.now();
          }
          onPaused.run();
          blockWhilePaused();
        });
  }

  /** Resumes; tells when it was paused by the loop's clock, empty if it was not. Any thread. */
  synchronized Optional<Long> resume() {
    Optional<Long> since = paused ? Optional.of(pausedSinceMicros) : Optional.empty();
    paused = false;
    notifyAll();
    return since;
  }

  private synchronized void blockWhilePaused() {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_PAUSE_SECONDS);
    while (paused && System.nanoTime() < untilNanos) {
      try {
        wait(WAIT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt(); // the channel group ends its threads so
        return;
      }
    }
  }

  @Override
  public Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException {
    return network.listen(address, maxConnections, () -> new PausableHandler(handlers.get()));
  }

  @Override
  public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
    network.connect(address, timeoutMicros, new PausableHandler(handler));
  }

  @Override
  public void connect(
      InetSocketAddress address, long timeoutMicros, int shard, Connection.Handler handler) {
    network.connect(address, timeoutMicros, shard, new PausableHandler(handler));
  }

  @Override
  public List<DelayProbe> delayProbes() throws IOException {
    return network.delayProbes();
  }

  /** Blocks what comes on I/O threads; the rest comes on the loop, which is blocked itself. */
  private final class PausableHandler implements Connection.Handler {
    private final Connection.Handler handler;

    PausableHandler(Connection.Handler handler) {
      this.handler = handler;
    }

    @Override
    public void connected(Connection connection) {
      handler.connected(connection);
    }

    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      blockWhilePaused();
      handler.decode(bytes, events);
    }

    @Override
    public boolean wantsArrivalTimes() {
      return handler.wantsArrivalTimes();
    }

    @Override
    public void batchArrived(long arrivedMicros) {
      handler.batchArrived(arrivedMicros);
    }

    @Override
    public boolean continueReading() {
      return handler.continueReading();
    }

    @Override
    public void received(List<Object> events) {
      handler.received(events);
    }

    @Override
    public void inputEnded() {
      handler.inputEnded();
    }

    @Override
    public void writeQueueDrained() {
      handler.writeQueueDrained();
    }

    @Override
    public void closed(IOException cause) {
      handler.closed(cause);
    }
  }
}
