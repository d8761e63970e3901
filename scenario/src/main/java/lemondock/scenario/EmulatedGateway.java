package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import lemondock.dispatch.RouterFactory;
import lemondock.exporter.host.ExporterRuntime;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.ProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.nio.ThreadLoop;

/**
 * A gateway of a fleet. It has its own loop and sockets, and can be killed, paused and restarted.
 * Used by the thread that runs the fleet.
 */
final class EmulatedGateway {
  private static final long TIMEOUT_SECONDS = 30;
  private static final long OCCUPATION_PERIOD_MICROS = 20_000;
  private static final long NANOS_PER_MICRO = 1_000;

  /**
   * Resources that the gateways of a fleet share.
   *
   * @param workers executor for work that must not block an event loop
   * @param fileSystemDecorator wraps the file system of the idempotency log
   */
  record Environment(
      Executor workers,
      ProcessResources processResources,
      UnaryOperator<FileSystemPort> fileSystemDecorator,
      PromptReader prompts,
      SnapshotListener snapshotListener) {}

  private final GatewaySettings settings;
  private final RouterFactory routerFactory;

  // Set by each start.
  private EmulatedProcess process;
  private PausableNetwork network;
  private GatewayDisk disk;
  private Gateway gateway;
  private ExporterRuntime exporterRuntime;
  private Reporting reporting;

  /** Creates a gateway and starts it. */
  EmulatedGateway(GatewaySettings settings, RouterFactory routerFactory, Environment environment) {
    this.settings = settings;
    this.routerFactory = routerFactory;
    start(environment);
  }

  /**
   * Starts the gateway, also after {@link #kill}; only its settings and its disk contents are kept.
   */
  void start(Environment environment) {
    process = new EmulatedProcess(settings.name(), settings.ioThreads());
    network = new PausableNetwork(process.network(), process.loop());
    disk = GatewayDisk.open(settings);
    GatewayEnvironment gatewayEnvironment =
        new GatewayEnvironment(
            process.loop(),
            network,
            disk.worker(),
            environment.workers(),
            environment.processResources(),
            disk.folder().map(environment.fileSystemDecorator()::apply).orElse(null));
    gateway =
        process.invokeAndWait(
            () -> new Gateway(gatewayEnvironment, settings, environment.prompts(), routerFactory));
    try {
      gateway.start();
      startReporting(environment.snapshotListener());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  private void startReporting(SnapshotListener listener) throws IOException, SettingsException {
    ThreadLoop loop = process.loop();
    exporterRuntime = new ExporterRuntime(settings.name() + "-reports");
    reporting =
        new Reporting(
            settings, gateway.metrics(), exporterRuntime.environment(), new SimpleMeterRegistry());
    reporting.addTickListener(
        (stamp, snapshot) -> listener.onSnapshot(settings.name(), loop.now(), snapshot));
    reporting.start(gateway.address());
  }

  /** Kills the gateway at once; it must not be paused. */
  GatewayKill kill() {
    GatewayKill kill = new GatewayKill(settings.name(), process.loop().now());
    closeProcess();
    return kill;
  }

  /**
   * Ends the gateway without a graceful shutdown and releases its resources, even if it is paused.
   */
  void close() {
    network.resume();
    closeProcess();
  }

  private void closeProcess() {
    process.close();
    exporterRuntime.close();
    disk.close();
  }

  /** Pauses the gateway, as SIGSTOP pauses a process; returns when it is paused. */
  void pause() {
    CountDownLatch paused = new CountDownLatch(1);
    network.pause(paused::countDown);
    try {
      if (!paused.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            "gateway " + settings.name() + " did not pause within " + TIMEOUT_SECONDS + " s");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Resumes the gateway and returns the pause; empty if it was not paused. */
  Optional<GatewayPause> resume() {
    return network
        .resume()
        .map(sinceMicros -> new GatewayPause(settings.name(), sinceMicros, process.loop().now()));
  }

  /** Occupies a share of the gateway's loop time, as another program on its machine would. */
  void occupy(double share, long micros) {
    ThreadLoop loop = process.loop();
    loop.execute(() -> occupy(loop, share, loop.now() + micros));
  }

  private static void occupy(ThreadLoop loop, double share, long untilMicros) {
    long freeAtMicros = loop.now() + (long) (share * OCCUPATION_PERIOD_MICROS);
    while (loop.now() < freeAtMicros) {
      LockSupport.parkNanos((freeAtMicros - loop.now()) * NANOS_PER_MICRO);
    }
    if (loop.now() < untilMicros) {
      long idleMicros = (long) ((1 - share) * OCCUPATION_PERIOD_MICROS);
      loop.schedule(idleMicros, () -> occupy(loop, share, untilMicros));
    }
  }

  /** Shuts the gateway down gracefully and returns its final metrics. */
  ObjectNode stop() {
    try {
      gateway.stop().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return reporting.finish().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException(
          "graceful shutdown of gateway " + settings.name() + " failed or timed out", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Number of endpoints that the gateway currently knows. */
  int endpointCount() {
    return process.invokeAndWait(gateway::endpointCount);
  }

  GatewaySettings settings() {
    return settings;
  }

  EmulatedProcess process() {
    return process;
  }

  Gateway gateway() {
    return gateway;
  }

  Reporting reporting() {
    return reporting;
  }
}
