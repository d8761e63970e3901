package lemondock.benchmark;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * The result of one run of streams from a {@link FirehoseProgram} through a relaying process, as
 * fast as the clients read them.
 *
 * @param events events that arrived at the clients
 * @param failures requests that failed, and error events
 * @param seconds duration of the run
 * @param cpu CPU time that the relaying process used
 */
record FirehoseRun(long events, long failures, double seconds, Duration cpu) {
  static final int STREAMS = 64;
  static final int EVENTS_PER_STREAM = 20_000;
  private static final String PROMPT = "send " + EVENTS_PER_STREAM + " events";
  private static final long DONE_TIMEOUT_SECONDS = 180;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Runs the streams through a gateway, with a session for each stream. */
  static FirehoseRun overGateway(StreamLoad load, ChildProcess gateway, List<String> sessions)
      throws InterruptedException {
    int port = gateway.port();
    return run(
        load,
        gateway,
        number -> StreamRequest.toGateway(number, port, sessions.get(number), PROMPT));
  }

  /** Runs the streams through a plain byte relay, which parses no protocol. */
  static FirehoseRun overRelay(StreamLoad load, ChildProcess relay) throws InterruptedException {
    return run(load, relay, number -> StreamRequest.toEngine(number, relay.port(), PROMPT));
  }

  private static FirehoseRun run(
      StreamLoad load, ChildProcess relayingProcess, IntFunction<StreamRequest> newRequest)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(STREAMS);
    Duration cpuBefore = relayingProcess.cpuTime();
    long startNanos = System.nanoTime();
    for (int i = 0; i < STREAMS; i++) {
      load.stream(newRequest.apply(i), done);
    }
    done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
    Duration cpu = relayingProcess.cpuTime().minus(cpuBefore);
    return new FirehoseRun(load.events(), load.failures(), seconds, cpu);
  }

  double eventsPerSecond() {
    return events / seconds;
  }

  double cpuSeconds() {
    return cpu.toNanos() / NANOS_PER_SECOND;
  }

  double eventsPerCpuSecond() {
    return events / cpuSeconds();
  }
}
