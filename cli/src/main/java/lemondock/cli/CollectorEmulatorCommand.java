package lemondock.cli;

import java.util.Map;
import java.util.concurrent.Callable;
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
            + " newest worth they are told.")
final class CollectorEmulatorCommand implements Callable<Integer> {
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
      description = "Ends by itself after so long; 0: by a signal.")
  private long seconds;

  @Override
  public Integer call() throws Exception {
    try (GraphiteListener plain =
            new GraphiteListener(graphitePort, false, GraphiteListener.Fault.NONE);
        CollectdListener binary = new CollectdListener(collectdPort, Map.of(), 1)) {
      System.out.println("ready graphite " + plain.port() + " collectd " + binary.port());
      long until = seconds == 0 ? Long.MAX_VALUE : System.nanoTime() + seconds * 1_000_000_000L;
      while (System.nanoTime() < until) {
        Thread.sleep(1_000);
        System.out.println(
            "graphite: "
                + plain.received().values()
                + " values, newest worth "
                + worth(plain.received())
                + "; collectd: "
                + binary.received().values()
                + " values in "
                + binary.packets()
                + " packets, notices "
                + binary.notifications().size());
      }
    }
    return 0;
  }

  private static String worth(ReceivedReports received) {
    double asked = 0;
    double inTime = 0;
    for (Map.Entry<String, ReceivedReports.Entry> e : received.newest().entrySet()) {
      if (e.getKey().contains(".worth.")) {
        double value = e.getValue().values().get(0).doubleValue();
        asked += e.getKey().endsWith(".asked") ? value : 0;
        inTime += e.getKey().endsWith(".in_time") ? value : 0;
      }
    }
    return inTime + " in time of " + asked;
  }
}
