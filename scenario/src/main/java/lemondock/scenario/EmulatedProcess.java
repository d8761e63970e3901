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
 * Stands for a process: an event loop and its sockets. Closing it breaks all connections at once,
 * as {@code kill -9} would. Any thread may use it.
 */
public final class EmulatedProcess implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(EmulatedProcess.class);
  private static final long INVOKE_TIMEOUT_SECONDS = 20;

  private final ThreadLoop loop;
  private final boolean ownsLoop;
  private final AsyncNetwork network;

  /** Creates a process with its own loop. */
  public EmulatedProcess(String name, int ioThreads) {
    this(
        new ThreadLoop(name, e -> LOG.error("task on event loop {} failed", name, e)),
        true,
        ioThreads);
  }

  /** Creates a process with its own sockets on the loop of another process. */
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

  /** The loop, which another process may own. */
  public ThreadLoop loop() {
    return loop;
  }

  /** The network of this process's sockets. */
  public AsyncNetwork network() {
    return network;
  }

  /** Runs a task on the loop and waits until it has ended. */
  public void invokeAndWait(Runnable task) {
    invokeAndWait(
        () -> {
          task.run();
          return null;
        });
  }

  /**
   * Runs a task on the loop and waits for its result.
   *
   * @return null if the task throws on the loop
   * @throws IllegalStateException if the task does not end within 20 s or the wait is interrupted
   */
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
        throw new IllegalStateException(
            "the event loop did not run a task within " + INVOKE_TIMEOUT_SECONDS + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
    return result.get();
  }

  /** Breaks all connections and frees the ports; closes the loop if this process owns it. */
  @Override
  public void close() {
    invokeAndWait(
        () -> {
          network.abortAll();
          if (ownsLoop) {
            loop.close(); // tasks still in its queue do not run
          }
        });
    try {
      network.close();
    } catch (IOException e) {
      LOG.warn("closing the sockets of an emulated process failed", e);
    }
  }
}
