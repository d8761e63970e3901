package lemondock.benchmark;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Measures the memory of a gateway with a heap of 512 MB that holds many streams open at a time.
 * System property: {@code open} (number of streams).
 */
final class OpenStreamsBenchmark implements Benchmark {
  private static final int ENGINE_SLOTS = 40_000;
  private static final int TOKEN_MILLIS = 1_000;
  private static final int LOAD_LOOPS = 3;
  private static final long SETTLE_SECONDS = 15;
  private static final long DONE_TIMEOUT_SECONDS = 90;

  private final int streams = Integer.getInteger("open", 10_000);

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("4g", ENGINE_SLOTS, TOKEN_MILLIS).start()) {
      Path settings = new GatewaySettingsFile(engine.port()).write();
      try (ChildProcess gateway = ChildProcess.gateway("512m", settings).start();
          StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
        measure(load, gateway);
      }
    }
  }

  private void measure(StreamLoad load, ChildProcess gateway) throws Exception {
    List<String> sessions = load.openSessions(gateway.port(), streams);
    CountDownLatch done = new CountDownLatch(streams);
    for (int i = 0; i < streams && i < sessions.size(); i++) {
      String prompt = "#o" + i + "# answer in 40 words";
      load.stream(StreamRequest.toGateway(i, gateway.port(), sessions.get(i), prompt), done);
      Pacing.pauseAfterEach(50, i, 5);
    }
    TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
    System.out.println(
        "open streams, heap 512 MB: "
            + gateway.collectAndMeasure().description()
            + " MB (heap MB, sessions, calls)");
    done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    System.out.printf(
        Locale.ROOT,
        "open streams: %d asked, %d events, %d failures, %d not ended%n",
        streams,
        load.events(),
        load.failures(),
        done.getCount());
  }
}
