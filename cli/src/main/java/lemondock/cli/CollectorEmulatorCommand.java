package lemondock.cli;

import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.emulator.collect.ReceivedReports;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs emulators of carbon and collectd. */
@Command(
    name = "collector",
    mixinStandardHelpOptions = true,
    description =
        "Runs emulators of carbon (plaintext) and collectd on loopback that print the"
            + " latest priority weights reported to them.")
final class CollectorEmulatorCommand implements Callable<Integer> {
  private static final long PRINT_INTERVAL_MILLIS = 1_000;

  @Option(
      names = "--graphite",
      description = "Port for Graphite's plaintext protocol.",
      defaultValue = "2003")
  private int graphitePort;

  @Option(
      names = "--collectd",
      description = "Port for collectd's network protocol.",
      defaultValue = "25826")
  private int collectdPort;

  @Option(
      names = "--seconds",
      defaultValue = "0",
      description = "Seconds to run; 0: until a signal.")
  private long seconds;

  @Override
  public Integer call() throws Exception {
    try (GraphiteListener graphite =
            new GraphiteListener(graphitePort, false, GraphiteListener.Fault.NONE);
        CollectdListener collectd = new CollectdListener(collectdPort, Map.of(), 1)) {
      System.out.println("ready graphite " + graphite.port() + " collectd " + collectd.port());
      long endNanos =
          seconds == 0 ? Long.MAX_VALUE : System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      while (System.nanoTime() < endNanos) {
        Thread.sleep(PRINT_INTERVAL_MILLIS);
        printReceived(graphite, collectd);
      }
    }
    return 0;
  }

  private static void printReceived(GraphiteListener graphite, CollectdListener collectd) {
    System.out.println(
        "graphite: "
            + graphite.received().values()
            + " values, latest priority weight "
            + describePriorityWeight(graphite.received())
            + "; collectd: "
            + collectd.received().values()
            + " values in "
            + collectd.packets()
            + " packets, notifications "
            + collectd.notifications().size());
  }

  /** Sums the latest priority weights, answered in time and requested, over all series. */
  private static String describePriorityWeight(ReceivedReports received) {
    double requested = 0;
    double inTime = 0;
    for (Map.Entry<String, ReceivedReports.Entry> report : received.newest().entrySet()) {
      String path = report.getKey();
      if (!path.contains(".worth.")) {
        continue;
      }
      double value = report.getValue().values().get(0).doubleValue();
      if (path.endsWith(".asked")) {
        requested += value;
      } else if (path.endsWith(".in_time")) {
        inTime += value;
      }
    }
    return inTime + " in time of " + requested;
  }
}
