package lemondock.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.Control;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.DeploymentLimits;
import lemondock.policy.EndpointListKind;
import lemondock.policy.Idempotency;
import lemondock.policy.RequestClass;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;
import lemondock.policy.ServiceRules;
import org.HdrHistogram.Histogram;

/** How long the module takes for a request, with 64 servers and 400 requests under way. */
final class DecisionBenchmark {
  private static final int SERVERS = 64;
  private static final int UNDER_WAY = 400;
  private static final int REQUESTS = 300_000;

  private DecisionBenchmark() {}

  private record Send(long id, long server) {}

  static void run() {
    ArrayDeque<Send> sends = new ArrayDeque<>();
    RouterHost host =
        new RouterHost() {
          @Override
          public void send(long requestId, long serverId, long timeout) {
            sends.add(new Send(requestId, serverId));
          }

          @Override
          public void reject(long requestId, long retryAfter) {}

          @Override
          public void fail(long requestId) {}

          @Override
          public void cancel(long requestId, int attempt) {}

          @Override
          public void releaseState(long requestId) {}

          @Override
          public void setTimer(long token, long delay) {}

          @Override
          public void watchEndpoints() {}

          @Override
          public void log(String line) {}
        };
    RouterSettings settings =
        new RouterSettings(
            0,
            1,
            0,
            2_000,
            List.of(
                new RequestClass(
                    1_200_000,
                    40_000,
                    5_000_000,
                    1,
                    0.1,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    60_000)),
            List.of(),
            List.of(
                new ServerKind(ServerRole.READER, 10_000_000),
                new ServerKind(ServerRole.WRITER, 10_000_000)),
            new DeploymentLimits(5, true, false, false, false, true, 1_000_000, 250_000, false),
            new ServiceRules(8_000, 2_000_000, 0.3, 13_000_000, 2.5, 3_000_000, 300_000),
            true,
            false);
    Control control = new Control(settings, 1, host);
    long now = 1_000_000;
    control.started(now);
    List<ServerEntry> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new ServerEntry(
              1_000 + i * 7919L, i % 2, i % 3 == 0 ? 0 : 1, i % 12, ServerLifecycle.READY, 1, 0));
    }
    control.endpointsChanged(now, EndpointListKind.FULL_LIST, servers);
    SplittableRandom random = new SplittableRandom(1);
    Histogram all = new Histogram(1_000_000_000L, 3);
    ArrayDeque<long[]> open = new ArrayDeque<>();
    long begun = 0;
    for (int i = 0; i < REQUESTS; i++) {
      if (i == REQUESTS / 3) {
        all.reset();
        begun = System.nanoTime();
      }
      now += 1_000;
      final long at = System.nanoTime();
      control.requestArrived(
          now,
          new RoutingRequest(
              i + 1,
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
              false));
      Send read = sends.poll();
      if (read != null) {
        control.attemptEnded(
            now + 100,
            new AttemptResult(
                read.id(),
                0,
                read.server(),
                AttemptOutcome.PROMPT_READ,
                20_000,
                false,
                500,
                false));
        Send write = sends.poll();
        if (write != null) {
          control.firstToken(now + 200, write.id(), 1, write.server(), 20_000);
          open.add(new long[] {write.id(), write.server()});
        }
      }
      if (open.size() > UNDER_WAY) {
        long[] done = open.poll();
        control.attemptEnded(
            now + 300,
            new AttemptResult(done[0], 1, done[1], AttemptOutcome.OK, 2_000_000, true, 500, false));
      }
      all.recordValue(System.nanoTime() - at);
      sends.clear();
    }
    double seconds = (System.nanoTime() - begun) / 1e9;
    System.out.printf(
        Locale.ROOT,
        "decisions, %d servers, %d under way: %.0f requests a second (four events each); "
            + "a request p50 %.1f us, p99 %.1f us%n",
        SERVERS,
        open.size(),
        REQUESTS * 2 / 3 / seconds,
        all.getValueAtPercentile(50) / 1e3,
        all.getValueAtPercentile(99) / 1e3);
  }
}
