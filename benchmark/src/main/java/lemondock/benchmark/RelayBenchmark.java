package lemondock.benchmark;

import java.util.List;
import java.util.Locale;

/** Compares the events per CPU second of the gateway with those of a plain byte relay on Netty. */
final class RelayBenchmark implements Benchmark {
  private static final int THREADS = 2;
  private static final int LOAD_LOOPS = 2;

  @Override
  public void run() throws Exception {
    try (ChildProcess firehose = ChildProcess.firehose("1g", THREADS).start();
        ChildProcess relay = ChildProcess.relay("1g", firehose.port(), THREADS).start();
        ChildProcess gateway =
            ChildProcess.gateway("1g", new GatewaySettingsFile(firehose.port()).write()).start()) {
      runOverRelay(relay); // warms up
      runOverGateway(gateway);
      FirehoseRun overRelay = runOverRelay(relay);
      print("netty", overRelay);
      FirehoseRun overGateway = runOverGateway(gateway);
      print("gateway", overGateway);
      System.out.printf(
          Locale.ROOT,
          "gateway against bare relay, events a CPU second: %.2f%n",
          overGateway.eventsPerCpuSecond() / overRelay.eventsPerCpuSecond());
    }
  }

  private static FirehoseRun runOverRelay(ChildProcess relay) throws InterruptedException {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
      return FirehoseRun.overRelay(load, relay);
    }
  }

  private static FirehoseRun runOverGateway(ChildProcess gateway) throws InterruptedException {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
      List<String> sessions = load.openSessions(gateway.port(), FirehoseRun.STREAMS);
      return FirehoseRun.overGateway(load, gateway, sessions);
    }
  }

  private static void print(String route, FirehoseRun run) {
    System.out.printf(
        Locale.ROOT,
        "relay, %d streams, %s: %d events in %.1f s (%.0f a second), %d"
            + " failures, %.1f s of CPU, %.0f events a CPU second%n",
        FirehoseRun.STREAMS,
        route,
        run.events(),
        run.seconds(),
        run.eventsPerSecond(),
        run.failures(),
        run.cpuSeconds(),
        run.eventsPerCpuSecond());
  }
}
