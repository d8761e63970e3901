package lemondock.gateway;

import java.util.List;
import java.util.concurrent.Executor;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.overload.Admission;
import lemondock.overload.StallMonitor;

/**
 * Measures how long tasks wait in each of the gateway's queues (the loop, the workers and the I/O
 * threads), which indicates overload, and reports it to {@link Admission}. It also drives the
 * {@link StallMonitor}. Loop thread only.
 */
final class QueueDelayMonitor {
  /** Interval between ticks of the stall monitor. */
  static final long STALL_TICK_MICROS = 100_000;

  private static final long BUSY_INTERVAL_MICROS = 10_000;
  private static final long RELAXED_INTERVAL_MICROS = 40_000;
  private static final int LOOP_QUEUE = 0;
  private static final int WORKERS_QUEUE = 1;
  private static final int FIRST_IO_QUEUE = 2;

  private final Loop loop;
  private final ProcessResources resources;
  private final Admission admission;
  private final StallMonitor stallMonitor;
  private final GatewayMetrics metrics;

  /**
   * For each queue except the loop's, the total pause time (microseconds) of the process just
   * before the queue accepted its latest probe.
   */
  private final long[] pausedMicrosAtProbe;

  QueueDelayMonitor(
      GatewayEnvironment environment,
      int ioThreads,
      Admission admission,
      StallMonitor stallMonitor,
      GatewayMetrics metrics) {
    this.loop = environment.loop();
    this.resources = environment.resources();
    this.admission = admission;
    this.stallMonitor = stallMonitor;
    this.metrics = metrics;
    this.pausedMicrosAtProbe = new long[queueCount(ioThreads)];
  }

  /** Number of measured queues: the loop's, the workers' and one for each I/O thread. */
  static int queueCount(int ioThreads) {
    return FIRST_IO_QUEUE + ioThreads;
  }

  /** Starts sampling; {@code probes} are those of the I/O threads. */
  void start(Executor workers, List<DelayProbe> probes) {
    sampleLoopLag(stallMonitor.onTick(loop.now()));
    sampleLoopQueue();
    sampleQueue(new ExecutorQueueProbe(loop, workers), WORKERS_QUEUE);
    int ioQueues = pausedMicrosAtProbe.length - FIRST_IO_QUEUE;
    for (int i = 0; i < Math.min(probes.size(), ioQueues); i++) {
      sampleQueue(probes.get(i), FIRST_IO_QUEUE + i);
    }
  }

  /** Records ten times a second how late the loop runs a due timer. */
  private void sampleLoopLag(long dueMicros) {
    loop.schedule(
        dueMicros - loop.now(),
        () -> {
          metrics.recordLoopLag(loop.now() - dueMicros);
          sampleLoopLag(stallMonitor.onTick(loop.now()));
        });
  }

  /**
   * Measures up to a hundred times a second how long a task posted to the loop waits before it
   * runs.
   */
  private void sampleLoopQueue() {
    long postedAtMicros = loop.now();
    long pausedMicrosBefore = resources.pausedMicros();
    loop.execute(
        () -> {
          long delayMicros = loop.now() - postedAtMicros;
          admission.recordDelay(
              loop.now(),
              LOOP_QUEUE,
              delayMicros - pausedMicrosSince(pausedMicrosBefore, delayMicros));
          loop.schedule(Math.max(0, intervalMicros() - delayMicros), this::sampleLoopQueue);
        });
  }

  /** Measures up to a hundred times a second how long a task waits in a queue. */
  private void sampleQueue(DelayProbe probe, int queue) {
    long pausedMicrosBefore = resources.pausedMicros();
    long waitingMicros = probe.measure(delayMicros -> recordDelay(queue, delayMicros));
    if (waitingMicros > 0) {
      long pausedMicros = pausedMicrosSince(pausedMicrosAtProbe[queue], waitingMicros);
      admission.recordOngoingDelay(queue, waitingMicros - pausedMicros);
    } else {
      pausedMicrosAtProbe[queue] = pausedMicrosBefore;
    }
    loop.schedule(intervalMicros(), () -> sampleQueue(probe, queue));
  }

  private void recordDelay(int queue, long delayMicros) {
    long pausedMicros = pausedMicrosSince(pausedMicrosAtProbe[queue], delayMicros);
    admission.recordDelay(loop.now(), queue, delayMicros - pausedMicros);
  }

  /**
   * The part of a delay in which the whole process was paused. A garbage collection of 150 ms
   * delays every waiting task by that time, but no queue grows, and the delay ends with the
   * collection, so it does not count as queue delay. Tasks that arrive together after the pause
   * still count for the time they wait in the queue.
   */
  private long pausedMicrosSince(long pausedMicrosBefore, long delayMicros) {
    return Math.min(delayMicros, resources.pausedMicros() - pausedMicrosBefore);
  }

  /**
   * Interval between samples. A sample is cheap, but an idle gateway should cost nothing, so the
   * interval is longer while admission is relaxed.
   */
  private long intervalMicros() {
    return admission.isRelaxed() ? RELAXED_INTERVAL_MICROS : BUSY_INTERVAL_MICROS;
  }
}
