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
 * A loop and its sockets: what a process has. Closing it breaks all connections at once, as a kill
 * -9 would. Any thread may use it.
 */
public final class EmulatedProcess implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EmulatedProcess.class);
  private static final long INVOKE_TIMEOUT_SECONDS = 20;

  private final ThreadLoop loop;
  private final boolean ownsLoop;
  private final AsyncNetwork network;

  /** A process with a loop of its own. */
  public EmulatedProcess(String name, int ioThreads) {
    this(
        new ThreadLoop(name, e -> LOG.error("a task of loop {} failed", name, e)), true, ioThreads);
  }

  /** A process on the loop of another, with sockets of its own. */
  public EmulatedProcess(EmulatedProcess other, int ioThreads) {
    this(other.loop, false, ioThreads);
  }

  private EmulatedProcess(ThreadLoop loop, boolean ownsLoop, int ioThreads) {
    this.loop = loop;
    this.ownsLoop = ownsLoop;
    try {
      this.network = new AsyncNetwork(loop, ioThreads);
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

  /** Runs a task on the loop and waits for its end. */
  public void invokeAndWait(Runnable task) {
    invokeAndWait(
        () -> {
          task.run();
          return null;
        });
  }

  /** Runs a task on the loop and waits for its result; null if the task throws. */
  public <T> T invokeAndWait(Supplier<T> task) {
    if (loop.inLoop()) {
      return task.get();
    }
    CountDownLatch done = new CountDownLatch(1);
    AtomicReference<T> result = new AtomicReference<>();
    loop.execute(
        () -> {
          try {
            result.set(task.get());
          } finally {
            done.countDown();
          }
        });
    try {
      if (!done.await(INVOKE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("the loop does not answer");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
    return result.get();
  }

  /** Breaks all connections, frees the ports and stops; a loop of its own is closed. */
  @Override
  public void close() {
    invokeAndWait(
        () -> {
          network.abortAll();
          if (ownsLoop) {
            loop.close(); // nothing that was handed over is done any more
          }
        });
    try {
      network.close();
    } catch (IOException e) {
      LOG.warn("sockets were not all closed", e);
    }
  }
}
