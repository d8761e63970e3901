package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongConsumer;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;

/** Tells how long a task waits in the workers' queue. Loop thread only. */
final class ExecutorQueueProbe implements DelayProbe {
  private final Loop loop;
  private final Executor executor;
  private boolean probeQueued;
  private long postedAtMicros;
  private long lastRunAtMicros;

  ExecutorQueueProbe(Loop loop, Executor executor) {
    this.loop = loop;
    this.executor = executor;
    this.lastRunAtMicros = loop.now();
  }

  @Override
  public long measure(LongConsumer delayMicros) {
    if (probeQueued) {
      return Math.max(1, loop.now() - postedAtMicros);
    }
    probeQueued = true;
    long postedAt = loop.now();
    postedAtMicros = postedAt;
    try {
      executor.execute(
          () -> {
            long delay = loop.now() - postedAt;
            loop.execute(
                () -> {
                  probeQueued = false;
                  lastRunAtMicros = loop.now();
                  delayMicros.accept(delay);
                });
          });
      return 0;
    } catch (RejectedExecutionException e) {
      probeQueued = false; // no place in the queue: all that is known is that nothing has passed
      // since the last one
      return Math.max(1, loop.now() - lastRunAtMicros);
    }
  }
}
