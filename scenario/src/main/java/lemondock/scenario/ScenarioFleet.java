package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.ProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.nio.LoopbackPort;
import lemondock.net.nio.WorkerPool;

/**
 * Gateways, emulated engines and a catalogue in one process, connected by real loopback sockets.
 * Each gateway and each engine has its own sockets and can be killed separately. The traffic on the
 * emulators' sockets is recorded for the auditor.
 *
 * <p>One thread starts, kills and closes the members of the fleet; other threads may read.
 */
public final class ScenarioFleet implements AutoCloseable {
  private static final String ANY_LOOPBACK_PORT = "127.0.0.1:0";
  private static final int WORKERS = 2;
  private static final int WORKER_QUEUE_SIZE = 256;

  private final EmulatedProcess emulators = new EmulatedProcess("standins", 2);
  private final CatalogueEmulator catalogue;
  private final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
  private final Map<String, EmulatedGateway> gateways = new LinkedHashMap<>();
  private final List<TrafficEvent> events = Collections.synchronizedList(new ArrayList<>());
  private final List<GatewayKill> kills = Collections.synchronizedList(new ArrayList<>());
  private final List<GatewayPause> pauses = Collections.synchronizedList(new ArrayList<>());
  private final List<LoopbackPort> reservedPorts = Collections.synchronizedList(new ArrayList<>());
  private final PromptReader prompts;
  private final ExecutorService workers =
      WorkerPool.create(WORKERS, WORKER_QUEUE_SIZE, "rehearsal-worker");
  private UnaryOperator<FileSystemPort> fileSystemDecorator = UnaryOperator.identity();

  /**
   * Unknown by default, because one process holds all gateways, and its usage says nothing about a
   * single one.
   */
  private ProcessResources processResources = ProcessResources.UNKNOWN;

  private SnapshotListener snapshotListener = (gateway, atMicros, snapshot) -> {};
  private long lastEngineSeed;

  /**
   * Creates a fleet without engines and gateways, and starts its catalogue.
   *
   * @param classes the request classes of its gateways
   * @param seed determines which requests are hit by the engines' faults
   */
  public ScenarioFleet(List<GatewaySettings.ClassSettings> classes, long seed) {
    this.lastEngineSeed = seed;
    this.prompts = new PromptReader(classes);
    this.catalogue =
        emulators.invokeAndWait(() -> new CatalogueEmulator(emulators.loop(), events::add));
    try {
      catalogue.start(emulators.network(), new InetSocketAddress("127.0.0.1", 0));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Sets the receiver of metrics snapshots; applies to gateways that are started later. */
  public void onSnapshot(SnapshotListener listener) {
    snapshotListener = listener;
  }

  /**
   * Sets a decorator for the file systems of idempotency logs; applies to gateways that are started
   * later.
   */
  public void decorateFileSystem(UnaryOperator<FileSystemPort> decorator) {
    fileSystemDecorator = decorator;
  }

  /** Sets the process resources that gateways see; applies to gateways that are started later. */
  public void setProcessResources(ProcessResources resources) {
    processResources = resources;
  }

  /** Reserves a loopback port that no other process of the machine gets until the fleet closes. */
  public int reservePort() {
    LoopbackPort port = LoopbackPort.reserve();
    reservedPorts.add(port);
    return port.number();
  }

  /** The catalogue's address as {@code HOST:PORT}. */
  public String catalogueAddress() {
    return "127.0.0.1:" + catalogue.address().getPort();
  }

  /** The catalogue, to inject faults; to be used on the loop of {@link #emulators}. */
  public CatalogueEmulator catalogue() {
    return catalogue;
  }

  /** The process whose loop all emulators share. */
  public EmulatedProcess emulators() {
    return emulators;
  }

  /** Starts an engine that is already warmed up and lists it in the catalogue. */
  public void addEngine(EngineSettings settings) {
    EngineSettings withPort =
        settings.listen().equals(ANY_LOOPBACK_PORT)
            ? settings.withListen("127.0.0.1:" + reservePort())
            : settings;
    engines.put(
        settings.name(),
        EmulatedEngine.startWarm(emulators, catalogue, events::add, withPort, ++lastEngineSeed));
  }

  /**
   * Kills an engine; its connections break at once.
   *
   * @param removalDelayMicros time until the catalogue removes it
   */
  public void crashEngine(String name, long removalDelayMicros) {
    engines.get(name).crash(removalDelayMicros);
  }

  /** Restarts a crashed engine, cold and on its previous port. */
  public void restartEngine(String name) {
    engines.get(name).restart(++lastEngineSeed);
  }

  /** Sets whether the catalogue lists an engine as draining. */
  public void setEngineDraining(String name, boolean draining) {
    engines.get(name).setDraining(draining);
  }

  /** The emulator of an engine; to be used on the loop of {@link #emulators}. */
  public EngineEmulator engine(String name) {
    return engines.get(name).emulator();
  }

  /** Names of the engines, in the order in which they were added. */
  public List<String> engines() {
    return List.copyOf(engines.keySet());
  }

  /** Settings of all engines. */
  public List<EngineSettings> engineSettings() {
    return engines.values().stream().map(EmulatedEngine::settings).toList();
  }

  /** Starts a gateway; its settings must name {@link #catalogueAddress}. */
  public void addGateway(GatewaySettings settings, RouterFactory routerFactory) {
    gateways.put(
        settings.name(), new EmulatedGateway(settings, routerFactory, gatewayEnvironment()));
  }

  /** Restarts a killed or stopped gateway; only its settings and its disk contents are kept. */
  public void startGateway(String name) {
    gateways.get(name).start(gatewayEnvironment());
  }

  private EmulatedGateway.Environment gatewayEnvironment() {
    return new EmulatedGateway.Environment(
        workers, processResources, fileSystemDecorator, prompts, snapshotListener);
  }

  /** Kills a gateway at once; a paused one is resumed first. */
  public void killGateway(String name) {
    resumeGateway(name);
    kills.add(gateways.get(name).kill());
  }

  /** Pauses a gateway, as SIGSTOP pauses a process; returns when it is paused. */
  public void pauseGateway(String name) {
    gateways.get(name).pause();
  }

  /** Resumes a paused gateway; has no effect on one that is not paused. */
  public void resumeGateway(String name) {
    gateways.get(name).resume().ifPresent(pauses::add);
  }

  /** Occupies a share of a gateway's loop time, as another program on its machine would. */
  public void occupyGateway(String name, double share, long micros) {
    gateways.get(name).occupy(share, micros);
  }

  /** Shuts a gateway down gracefully and returns its final metrics. */
  public ObjectNode stopGateway(String name) {
    return gateways.get(name).stop();
  }

  /** The reporting component of a gateway. */
  public Reporting reporting(String name) {
    return gateways.get(name).reporting();
  }

  /** The gateway of that name, as created by its latest start. */
  public Gateway gateway(String name) {
    return gateways.get(name).gateway();
  }

  /** The emulated process of a gateway's latest start. */
  public EmulatedProcess gatewayProcess(String name) {
    return gateways.get(name).process();
  }

  /** Names of the gateways, in the order in which they were added. */
  public List<String> gateways() {
    return List.copyOf(gateways.keySet());
  }

  /** A gateway's settings. */
  public GatewaySettings gatewaySettings(String name) {
    return gateways.get(name).settings();
  }

  /** Waits until a gateway knows exactly {@code count} servers; false on timeout. */
  public boolean awaitServers(String gateway, int count, long timeoutMs) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (gateways.get(gateway).endpointCount() != count) {
      if (System.nanoTime() > deadlineNanos) {
        return false;
      }
      Thread.onSpinWait();
    }
    return true;
  }

  /** The traffic on the emulators' sockets so far. */
  public List<TrafficEvent> events() {
    return copy(events);
  }

  /** The kills of gateways so far. */
  public List<GatewayKill> kills() {
    return copy(kills);
  }

  /** The pauses of gateways so far that have ended. */
  public List<GatewayPause> pauses() {
    return copy(pauses);
  }

  private static <T> List<T> copy(List<T> synchronizedList) {
    synchronized (synchronizedList) {
      return List.copyOf(synchronizedList);
    }
  }

  @Override
  public void close() {
    gateways.values().forEach(EmulatedGateway::close);
    engines.values().forEach(EmulatedEngine::close);
    emulators.close();
    workers.shutdownNow();
    reservedPorts.forEach(LoopbackPort::close);
  }
}
