package lemondock.scenario;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * Makes a gateway stand still as SIGSTOP does to a process: its loop and its I/O threads wait
 * wherever they next come to. The kernel goes on accepting connections and taking bytes for it. One
 * process holds all gateways of a day, so a signal would not do.
 */
final class PausableNetwork implements Network {
  /**
   * A gateway that stands still is let go after this even if nobody does, so that no test hangs.
   */
  private static final long LONGEST_SECONDS = 30;

  private final Network network;
  private final Loop loop;
  private boolean standing;
  private long since;

  PausableNetwork(Network network, Loop loop) {
    this.network = network;
    this.loop = loop;
  }

  /** Stands still from the loop's next task on; {@code begun} hears of the moment. */
  void stand(Runnable begun) {
    loop.execute(
        () -> {
          synchronized (this) {
            standing = true;
            since = loop.now();
          }
          begun.run();
          pass();
        });
  }

  /** Goes on; tells the microseconds at which it came to stand, 0 if it did not. */
  synchronized long goOn() {
    long stood = standing ? since : 0;
    standing = false;
    notifyAll();
    return stood;
  }

  private synchronized void pass() {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_SECONDS);
    while (standing && System.nanoTime() < until) {
      try {
        wait(1_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt(); // the channel group ends its threads so
        return;
      }
    }
  }

  @Override
  public Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers)
      throws IOException {
    return network.listen(address, most, () -> new Held(handlers.get()));
  }

  @Override
  public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
    network.connect(address, timeoutMicros, new Held(handler));
  }

  @Override
  public void connect(
      InetSocketAddress address, long timeoutMicros, int near, Connection.Handler handler) {
    network.connect(address, timeoutMicros, near, new Held(handler));
  }

  @Override
  public List<DelayProbe> delayProbes() throws IOException {
    return network.delayProbes();
  }

  /** What comes on I/O threads waits; the rest comes on the loop, which waits itself. */
  private final class Held implements Connection.Handler {
    private final Connection.Handler handler;

    Held(Connection.Handler handler) {
      this.handler = handler;
    }

    @Override
    public void connected(Connection connection) {
      handler.connected(connection);
    }

    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      pass();
      handler.decode(bytes, events);
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
