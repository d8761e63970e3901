package lemondock.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import lemondock.policy.Control;
import lemondock.policy.Routing;
import lemondock.policy.Routing.Ending;
import org.HdrHistogram.Histogram;

/** How long the module takes for a request, with 64 servers and 400 requests under way. */
final class Decisions {
  private static final int SERVERS = 64;
  private static final int UNDER_WAY = 400;
  private static final int REQUESTS = 300_000;

  private Decisions() {}

  private record Send(long id, long server) {}

  static void run() {
    ArrayDeque<Send> sends = new ArrayDeque<>();
    Routing.Host host =
        new Routing.Host() {
          @Override
          public void send(long requestId, long serverId, long timeout) {
            sends.add(new Send(requestId, serverId));
          }

          @Override
          public void refuse(long requestId, long retryAfter) {}

          @Override
          public void fail(long requestId) {}

          @Override
          public void cancel(long requestId, int attempt) {}

          @Override
          public void release(long requestId) {}

          @Override
          public void timer(long token, long delay) {}

          @Override
          public void watchServers() {}

          @Override
          public void log(String line) {}
        };
    Routing.Settings settings =
        new Routing.Settings(
            0,
            1,
            0,
            2_000,
            List.of(
                new Routing.RequestClass(
                    1_200_000,
                    40_000,
                    5_000_000,
                    1,
                    0.1,
                    Routing.Repeat.SAFE,
                    Routing.Group.ALL,
                    0,
                    60_000)),
            List.of(),
            List.of(
                new Routing.Kind(Routing.Role.READER, 10_000_000),
                new Routing.Kind(Routing.Role.WRITER, 10_000_000)),
            new Routing.Limits(5, true, false, false, false, true, 1_000_000, 250_000, false),
            new Routing.Rules(8_000, 2_000_000, 0.3, 13_000_000, 2.5, 3_000_000, 300_000),
            true,
            false);
    Control control = new Control(settings, 1, host);
    long now = 1_000_000;
    control.started(now);
    List<Routing.Server> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      servers.add(
          new Routing.Server(
              1_000 + i * 7919L, i % 2, i % 3 == 0 ? 0 : 1, i % 12, Routing.Standing.READY, 1, 0));
    }
    control.servers(now, Routing.ListKind.WHOLE, servers);
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
      control.request(
          now,
          new Routing.Request(
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
        control.outcome(
            now + 100,
            new Routing.Outcome(
                read.id(), 0, read.server(), Ending.READ, 20_000, false, 500, false));
        Send write = sends.poll();
        if (write != null) {
          control.firstToken(now + 200, write.id(), 1, write.server(), 20_000);
          open.add(new long[] {write.id(), write.server()});
        }
      }
      if (open.size() > UNDER_WAY) {
        long[] done = open.poll();
        control.outcome(
            now + 300,
            new Routing.Outcome(done[0], 1, done[1], Ending.OK, 2_000_000, true, 500, false));
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
