package lemondock.cli;

import java.io.IOException;
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
import lemondock.idempotency.FileSystemPort;
import lemondock.idempotency.LockedDirectory;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ProcessHalt;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.WorkerPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway until SIGTERM or SIGINT, then drains the calls in flight before it exits. */
@Command(name = "gateway", mixinStandardHelpOptions = true, description = "Runs a gateway.")
final class GatewayCommand implements Callable<Integer> {
  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);

  /**
   * A single thread writes the idempotency log; calls that need it are rejected while its queue is
   * full.
   */
  private static final int DISK_THREADS = 1;

  private static final int DISK_QUEUE_CAPACITY = 64;

  /** Added to the time that the settings allow for each step of the graceful shutdown. */
  private static final long SHUTDOWN_GRACE_MILLIS = 2_000;

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
    Gateway gateway = createGateway(settings);
    Reporting reporting = createReporting(settings, gateway);
    gateway.start();
    reporting.start(gateway.address());
    ShutdownSignal.beforeExit(() -> shutDown(settings, gateway, reporting));
    printAddresses(gateway, reporting);
    ShutdownSignal.await();
    return 0;
  }

  private static Gateway createGateway(GatewaySettings settings) throws IOException {
    return new Gateway(
        createEnvironment(settings),
        settings,
        new PromptReader(settings.classes()),
        Gateway.DEFAULT_ROUTER_FACTORY);
  }

  private static GatewayEnvironment createEnvironment(GatewaySettings settings) throws IOException {
    ProcessHalt processHalt = new ProcessHalt();
    ThreadLoop loop =
        new ThreadLoop(
            "lemondock-loop",
            e -> {
              processHalt.haltIfFatal(e);
              LOG.error("a task of the event loop failed", e);
            },
            processHalt);
    return new GatewayEnvironment(
        loop,
        new AsyncNetwork(loop, settings.ioThreads()),
        WorkerPool.create(DISK_THREADS, DISK_QUEUE_CAPACITY, "lemondock-disk"),
        WorkerPool.create(
            settings.overload().heavyThreads(),
            settings.overload().heavyQueue(),
            "lemondock-worker"),
        new JvmProcessResources(),
        openIdempotencyDirectory(settings));
  }

  /**
   * Opens and locks the directory of the idempotency log.
   *
   * @return null if the settings configure no log, as {@link GatewayEnvironment} expects
   */
  private static FileSystemPort openIdempotencyDirectory(GatewaySettings settings)
      throws IOException {
    return settings.durable() == null
        ? null
        : new LockedDirectory(Path.of(settings.durable().path()));
  }

  private static Reporting createReporting(GatewaySettings settings, Gateway gateway)
      throws IOException {
    ExporterRuntime runtime = new ExporterRuntime("lemondock-reports");
    return new Reporting(
        settings, gateway.metrics(), runtime.environment(), ProcessMeterRegistry.create());
  }

  /**
   * Stops the gateway first and reporting second, so that the final metrics include its last calls.
   */
  private static void shutDown(GatewaySettings settings, Gateway gateway, Reporting reporting)
      throws InterruptedException {
    long gatewayMillis =
        (long) (settings.limits().stopNoticeMs() + settings.limits().stopWithinMs());
    long reportingMillis = (long) settings.reporting().finishMs();
    try {
      gateway.stop().get(gatewayMillis + SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      reporting.finish().get(reportingMillis + SHUTDOWN_GRACE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("the graceful shutdown failed or timed out", e);
    }
  }

  private static void printAddresses(Gateway gateway, Reporting reporting) {
    System.out.println("ready " + HttpUrl.of(gateway.address()) + "/mcp");
    reporting
        .statusAddress()
        .ifPresent(address -> System.out.println("status " + HttpUrl.of(address)));
  }
}
