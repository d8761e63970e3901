package lemondock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import lemondock.exporter.host.ExporterRuntime;
import lemondock.exporter.host.ProcessMeterRegistry;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.JvmProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.idempotency.DiskFolder;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.WorkerPool;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway until a signal stops it; calls under way may end first. */
@Command(name = "gateway", mixinStandardHelpOptions = true, description = "Runs a gateway.")
final class GatewayCommand implements Callable<Integer> {
  private static final int DISK_QUEUE = 64;
  private static final long GRACE_MS = 2_000;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings (JSON).")
  private Path config;

  @Override
  public Integer call() throws Exception {
    GatewaySettings settings = SettingsFile.readGateway(config);
    Logging.configure(settings.log().format(), settings.log().level());
    ThreadLoop loop =
        new ThreadLoop(
            "lemondock-loop",
            e -> LoggerFactory.getLogger(Gateway.class).error("a task of the loop failed", e));
    AsyncNetwork network = new AsyncNetwork(loop, settings.ioThreads());
    GatewayEnvironment machine =
        new GatewayEnvironment(
            loop,
            network,
            WorkerPool.create(1, DISK_QUEUE, "lemondock-disk"),
            WorkerPool.create(
                settings.overload().heavyThreads(),
                settings.overload().heavyQueue(),
                "lemondock-worker"),
            new JvmProcessResources(),
            settings.durable() == null ? null : new DiskFolder(Path.of(settings.durable().path())));
    Gateway gateway =
        new Gateway(
            machine,
            settings,
            new PromptReader(settings.classes()),
            Gateway.DEFAULT_ROUTER_FACTORY);
    ExporterRuntime host = new ExporterRuntime("lemondock-reports");
    Reporting reporting =
        new Reporting(
            settings, gateway.metrics(), host.environment(), ProcessMeterRegistry.create());
    gateway.start();
    reporting.start(gateway.address());
    ShutdownSignal.beforeExit(
        () -> {
          try {
            gateway
                .stop()
                .get(
                    (long) (settings.limits().stopNoticeMs() + settings.limits().stopWithinMs())
                        + GRACE_MS,
                    TimeUnit.MILLISECONDS);
            reporting
                .finish()
                .get((long) settings.reporting().finishMs() + GRACE_MS, TimeUnit.MILLISECONDS);
          } catch (ExecutionException | TimeoutException e) {
            LoggerFactory.getLogger(Gateway.class).warn("the stop was not clean", e);
          }
        });
    System.out.println(
        "ready http://"
            + gateway.address().getHostString()
            + ":"
            + gateway.address().getPort()
            + "/mcp");
    reporting
        .statusAddress()
        .ifPresent(
            address ->
                System.out.println(
                    "status http://" + address.getHostString() + ":" + address.getPort()));
    ShutdownSignal.await(Long.MAX_VALUE);
    return 0;
  }
}
