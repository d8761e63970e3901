package lemondock.net.nio;

import java.util.Optional;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Creates the I/O thread of a shard, and another one whenever it has ended by an error. Any thread.
 */
final class IoThreadFactory implements ThreadFactory {
  private final int shard;
  private final Consumer<Throwable> onFailure;
  private final Optional<Thread.UncaughtExceptionHandler> threadEndHandler;
  private final AtomicInteger created = new AtomicInteger();

  /**
   * Creates a factory.
   *
   * @param onFailure called on a thread that ends by an exception or error
   * @param threadEndHandler called on a thread that ends because {@code onFailure} failed too
   */
  IoThreadFactory(
      int shard,
      Consumer<Throwable> onFailure,
      Optional<Thread.UncaughtExceptionHandler> threadEndHandler) {
    this.shard = shard;
    this.onFailure = onFailure;
    this.threadEndHandler = threadEndHandler;
  }

  @Override
  public Thread newThread(Runnable task) {
    created.incrementAndGet();
    IoThread thread = new IoThread(task, shard, onFailure);
    threadEndHandler.ifPresent(thread::setUncaughtExceptionHandler);
    return thread;
  }

  /** Number of threads created so far: it grows before a successor of an ended thread runs. */
  int created() {
    return created.get();
  }
}
