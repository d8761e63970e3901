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
 * Pauses a gateway as SIGSTOP pauses a process: its event loop blocks in its next task, and its I/O
 * threads block when they next decode bytes. The kernel continues to accept connections and to
 * buffer received bytes. The signal itself cannot be used, because one process holds all gateways
 * of a scenario.
 */
final class PausableNetwork implements Network {
  /**
   * Longest time that a thread blocks even if nobody resumes the gateway; keeps tests from hanging.
   */
  private static final long MAX_PAUSE_SECONDS = 30;

  private static final long WAIT_MS = 1_000;

  private final Network network;
  private final Loop loop;

  // Guarded by the lock of this object.
  private boolean paused;
  private long pausedSinceMicros;

  PausableNetwork(Network network, Loop loop) {
    this.network = network;
    this.loop = loop;
  }

  /** Pauses in the loop's next task; {@code onPaused} runs on the loop just before it blocks. */
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

  /**
   * Resumes; returns the time of the pause in microseconds of the loop's clock, empty if it was not
   * paused. Any thread.
   */
  synchronized Optional<Long> resume() {
    Optional<Long> since = paused ? Optional.of(pausedSinceMicros) : Optional.empty();
    paused = false;
    notifyAll();
    return since;
  }

  private synchronized void blockWhilePaused() {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_PAUSE_SECONDS);
    while (paused && System.nanoTime() < deadlineNanos) {
      try {
        wait(WAIT_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt(); // the channel group interrupts its threads to end them
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

  /** Blocks decoding on I/O threads; all other work runs on the loop, which is itself blocked. */
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
