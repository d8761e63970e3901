package lemondock.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.Control;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.DeploymentLimits;
import lemondock.policy.EndpointListKind;
import lemondock.policy.Idempotency;
import lemondock.policy.RequestClass;
import lemondock.policy.RouterSettings;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;
import lemondock.policy.ServiceRules;
import org.HdrHistogram.Histogram;

/**
 * Measures how long the router takes to decide on a request, with 64 servers and 400 requests in
 * flight. A request causes four events: its arrival, the end of its prefill, its first token and
 * the end of its answer.
 */
final class DecisionBenchmark implements Benchmark {
  private static final int SERVERS = 64;
  private static final int IN_FLIGHT = 400;
  private static final int REQUESTS = 300_000;
  private static final int WARM_UP_REQUESTS = REQUESTS / 3;
  private static final long REQUEST_INTERVAL_MICROS = 1_000;
  private static final long MAX_DECISION_NANOS = 1_000_000_000L;
  private static final double NANOS_PER_MICRO = 1e3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RecordingRouterHost host = new RecordingRouterHost();
  private final Control control = new Control(settings(), 1, host);
  private final Queue<RecordingRouterHost.Send> writes = new ArrayDeque<>();
  private final SplittableRandom random = new SplittableRandom(1);

  /** The simulated time that is passed to the router. */
  private long nowMicros = 1_000_000;

  @Override
  public void run() {
    control.started(nowMicros);
    control.endpointsChanged(nowMicros, EndpointListKind.FULL_LIST, servers());
    Histogram requestNanos = new Histogram(MAX_DECISION_NANOS, 3);
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      runRequest(i + 1);
    }
    long startNanos = System.nanoTime();
    for (int i = WARM_UP_REQUESTS; i < REQUESTS; i++) {
      requestNanos.recordValue(runRequest(i + 1));
    }
    print(requestNanos, (System.nanoTime() - startNanos) / NANOS_PER_SECOND);
  }

  private void print(Histogram requestNanos, double seconds) {
    System.out.printf(
        Locale.ROOT,
        "decisions, %d servers, %d in flight: %.0f requests a second (four events each); "
            + "a request p50 %.1f us, p99 %.1f us%n",
        SERVERS,
        writes.size(),
        (REQUESTS - WARM_UP_REQUESTS) / seconds,
        requestNanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
        requestNanos.getValueAtPercentile(99) / NANOS_PER_MICRO);
  }

  /**
   * Runs the arrival, prefill and first token of a new request and the end of an earlier one;
   * returns the nanoseconds that the router took.
   */
  private long runRequest(long requestId) {
    nowMicros += REQUEST_INTERVAL_MICROS;
    final long startNanos = System.nanoTime();
    control.requestArrived(nowMicros, drawRequest(requestId));
    host.pollSend().ifPresent(this::completeRead);
    if (writes.size() > IN_FLIGHT) {
      endAnswer(writes.remove());
    }
    long elapsedNanos = System.nanoTime() - startNanos;
    host.clearSends();
    return elapsedNanos;
  }

  private void completeRead(RecordingRouterHost.Send read) {
    control.attemptEnded(
        nowMicros + 100,
        new AttemptResult(
            read.requestId(),
            0,
            read.serverId(),
            AttemptOutcome.PROMPT_READ,
            20_000,
            false,
            500,
            false));
    Optional<RecordingRouterHost.Send> write = host.pollSend();
    if (write.isPresent()) {
      control.firstToken(
          nowMicros + 200, write.get().requestId(), 1, write.get().serverId(), 20_000);
      writes.add(write.get());
    }
  }

  private void endAnswer(RecordingRouterHost.Send write) {
    control.attemptEnded(
        nowMicros + 300,
        new AttemptResult(
            write.requestId(),
            1,
            write.serverId(),
            AttemptOutcome.OK,
            2_000_000,
            true,
            500,
            false));
  }

  private RoutingRequest drawRequest(long requestId) {
    return new RoutingRequest(
        requestId,
        0,
        0,
        random.nextInt(5_000) + 1,
        random.nextInt(40) + 1,
        900,
        600,
        200,
        5_000_000,
        0,
        false,
        false);
  }

  private static RouterSettings settings() {
    RequestClass requestClass =
        new RequestClass(
            1_200_000,
            40_000,
            5_000_000,
            1,
            0.1,
            Idempotency.IDEMPOTENT,
            DeduplicationScope.ALL,
            0,
            60_000);
    List<ServerKind> kinds =
        List.of(
            new ServerKind(ServerRole.READER, 10_000_000),
            new ServerKind(ServerRole.WRITER, 10_000_000));
    return new RouterSettings(
        0,
        1,
        0,
        2_000,
        List.of(requestClass),
        List.of(),
        kinds,
        new DeploymentLimits(5, true, false, false, false, true, 1_000_000, 250_000, false),
        new ServiceRules(8_000, 2_000_000, 0.3, 13_000_000, 2.5, 3_000_000, 300_000),
        true,
        false);
  }

  private static List<ServerEntry> servers() {
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      long id = 1_000 + i * 7_919L;
      int zone = i % 2;
      int kind = i % 3 == 0 ? 0 : 1;
      int cell = i % 12;
      servers.add(new ServerEntry(id, zone, kind, cell, ServerLifecycle.READY, 1, 0));
    }
    return servers;
  }
}
