package lemondock.cli;

import java.util.concurrent.Callable;
import lemondock.exporter.collectd.CounterType;
import lemondock.exporter.collectd.TypesDb;
import lemondock.metrics.MetricCatalogue;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists the metrics that a gateway reports. */
@Command(
    name = "metrics",
    mixinStandardHelpOptions = true,
    description = "Lists all metrics (the content of docs/METRICS.md).",
    subcommands = MetricsDumpCommand.class)
final class MetricsCommand implements Callable<Integer> {
  @Option(
      names = "--types-db",
      description = "Prints collectd's data set definitions (TypesDB) instead.")
  private boolean typesDb;

  @Option(
      names = "--counter",
      description =
          "With --types-db: defines counters as COUNTER, for destinations with that setting.")
  private boolean counter;

  @Override
  public Integer call() {
    CounterType counterType = counter ? CounterType.COUNTER : CounterType.DERIVE;
    System.out.print(typesDb ? TypesDb.definitions(counterType) : MetricCatalogue.markdown());
    return 0;
  }
}
