package lemondock.net.nio;

import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Creates the I/O thread of a shard, and another one whenever it has ended by an error. Any thread.
 */
final class IoThreadFactory implements ThreadFactory {
  private final int shard;
  private final Consumer<Throwable> onFailure;
  private final AtomicInteger created = new AtomicInteger();

  /**
   * Creates a factory.
   *
   * @param onFailure called on a thread that ends by an exception or error
   */
  IoThreadFactory(int shard, Consumer<Throwable> onFailure) {
    this.shard = shard;
    this.onFailure = onFailure;
  }

  @Override
  public Thread newThread(Runnable task) {
    created.incrementAndGet();
    return new IoThread(task, shard, onFailure);
  }

  /** Number of threads created so far: it grows before a successor of an ended thread runs. */
  int created() {
    return created.get();
  }
}
