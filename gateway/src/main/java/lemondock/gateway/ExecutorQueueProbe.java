package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.LongConsumer;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;

/** Measures how long a task waits in an executor's queue before it runs. Loop thread only. */
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
  public long measure(LongConsumer onDelayMicros) {
    if (probeQueued) {
      return Math.max(1, loop.now() - postedAtMicros);
    }
    probeQueued = true;
    postedAtMicros = loop.now();
    try {
      executor.execute(probe(postedAtMicros, onDelayMicros));
      return 0;
    } catch (RejectedExecutionException e) {
      // the queue is full: all that is known is the time since the last probe ran
      probeQueued = false;
      return Math.max(1, loop.now() - lastRunAtMicros);
    }
  }

  private Runnable probe(long probePostedAtMicros, LongConsumer onDelayMicros) {
    return () -> {
      long delayMicros = loop.now() - probePostedAtMicros;
      loop.execute(
          () -> {
            probeQueued = false;
            lastRunAtMicros = loop.now();
            onDelayMicros.accept(delayMicros);
          });
    };
  }
}
