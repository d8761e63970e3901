package lemondock.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A loop and its sockets: what a process has. Killing it breaks all connections at once, as a kill
 * -9 would.
 */
public final class EmulatedProcess implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EmulatedProcess.class);

  private final ThreadLoop loop;
  private final boolean ownLoop;
  private final AsyncNetwork network;

  /** A node with a loop of its own. */
  public EmulatedProcess(String name, int threads) {
    this(new ThreadLoop(name, e -> LOG.error("a task of loop {} failed", name, e)), true, threads);
  }

  /** A node on another's loop, with sockets of its own. */
  public EmulatedProcess(EmulatedProcess other, int threads) {
    this(other.loop, false, threads);
  }

  private EmulatedProcess(ThreadLoop loop, boolean ownLoop, int threads) {
    this.loop = loop;
    this.ownLoop = ownLoop;
    try {
      this.network = new AsyncNetwork(loop, threads);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Its loop. */
  public ThreadLoop loop() {
    return loop;
  }

  /** Its sockets. */
  public AsyncNetwork network() {
    return network;
  }

  /** Does something on the loop and waits for what it gives. */
  public <T> T invokeAndWait(Supplier<T> task) {
    if (loop.inLoop()) {
      return task.get();
    }
    CountDownLatch done = new CountDownLatch(1);
    AtomicReference<T> got = new AtomicReference<>();
    loop.execute(
        () -> {
          try {
            got.set(task.get());
          } finally {
            done.countDown();
          }
        });
    try {
      if (!done.await(20, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the loop does not answer");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
    return got.get();
  }

  /** Breaks all connections, frees the ports and stops. */
  @Override
  public void close() {
    invokeAndWait(
        () -> {
          network.abortAll();
          if (ownLoop) {
            loop.close(); // nothing that was handed over is done any more
          }
          return null;
        });
    try {
      network.close();
    } catch (IOException e) {
      LOG.warn("sockets were not all closed", e);
    }
  }
}
