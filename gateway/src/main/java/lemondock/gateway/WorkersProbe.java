package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongConsumer;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;

/** Tells how long a task waits in the workers' queue. Loop thread only. */
final class WorkersProbe implements DelayProbe {
  private final Loop loop;
  private final Executor workers;
  private boolean waiting;
  private long postedAt;
  private long passedAt;

  WorkersProbe(Loop loop, Executor workers) {
    this.loop = loop;
    this.workers = workers;
    this.passedAt = loop.now();
  }

  @Override
  public long measure(LongConsumer waited) {
    if (waiting) {
      return Math.max(1, loop.now() - postedAt);
    }
    waiting = true;
    long posted = loop.now();
    postedAt = posted;
    try {
      workers.execute(
          () -> {
            long took = loop.now() - posted;
            loop.execute(
                () -> {
                  waiting = false;
                  passedAt = loop.now();
                  waited.accept(took);
                });
          });
      return 0;
    } catch (RejectedExecutionException e) {
      waiting = false; // no place in the queue: all that is known is that nothing has passed
      // since the last one
      return Math.max(1, loop.now() - passedAt);
    }
  }
}
