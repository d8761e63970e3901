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
 * Gateways, emulated engines and a catalogue in one process, over real loopback sockets. Each
 * gateway and each engine has sockets of its own and can be killed by itself. What passes on the
 * emulators' sockets is recorded for the auditor.
 *
 * <p>One thread starts, kills and closes; others may read.
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

  /** One process holds all gateways: what it uses says nothing about one of them. */
  private ProcessResources processResources = ProcessResources.UNKNOWN;

  private SnapshotListener snapshotListener = (gateway, atMicros, snapshot) -> {};
  private long lastEngineSeed;

  /**
   * Makes a fleet without engines and gateways.
   *
   * @param classes the request classes of its gateways
   * @param seed draws which requests the engines' faults hit
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

  /** Sets the receiver of metrics snapshots; before gateways are added. */
  public void onSnapshot(SnapshotListener listener) {
    snapshotListener = listener;
  }

  /**
   * Puts a decorator before the file systems of the idempotency logs of gateways that are started
   * from now on.
   */
  public void decorateFileSystem(UnaryOperator<FileSystemPort> decorator) {
    fileSystemDecorator = decorator;
  }

  /** What gateways that are started from now on read of their process. */
  public void setProcessResources(ProcessResources resources) {
    processResources = resources;
  }

  /** A loopback port that nobody else of the machine is given until the fleet is closed. */
  public int reservePort() {
    LoopbackPort port = LoopbackPort.reserve();
    reservedPorts.add(port);
    return port.number();
  }

  /** Where the catalogue listens. */
  public String catalogueAddress() {
    return "127.0.0.1:" + catalogue.address().getPort();
  }

  /** The catalogue, for its faults; use it on the loop of {@link #emulators}. */
  public CatalogueEmulator catalogue() {
    return catalogue;
  }

  /** The process of the emulators, whose loop they share. */
  public EmulatedProcess emulators() {
    return emulators;
  }

  /** Starts an engine that has been up for long, and lists it. */
  public void addEngine(EngineSettings settings) {
    EngineSettings withPort =
        settings.listen().equals(ANY_LOOPBACK_PORT)
            ? settings.withListen("127.0.0.1:" + reservePort())
            : settings;
    engines.put(
        settings.name(),
        EmulatedEngine.startWarm(emulators, catalogue, events::add, withPort, ++lastEngineSeed));
  }

  /** Kills an engine: its connections break at once; the catalogue drops it after a delay. */
  public void crashEngine(String name, long noticeMicros) {
    engines.get(name).crash(noticeMicros);
  }

  /** Starts a dead engine again, cold, on its old port. */
  public void restartEngine(String name) {
    engines.get(name).restart(++lastEngineSeed);
  }

  /** Lists an engine as draining, or not any more. */
  public void setEngineDraining(String name, boolean draining) {
    engines.get(name).setDraining(draining);
  }

  /** An engine; use it on the loop of {@link #emulators}. */
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

  /** Starts a gateway that was killed or stopped, with nothing but its settings and its disk. */
  public void startGateway(String name) {
    gateways.get(name).start(gatewayEnvironment());
  }

  private EmulatedGateway.Environment gatewayEnvironment() {
    return new EmulatedGateway.Environment(
        workers, processResources, fileSystemDecorator, prompts, snapshotListener);
  }

  /** Kills a gateway at once. */
  public void killGateway(String name) {
    resumeGateway(name);
    kills.add(gateways.get(name).kill());
  }

  /** Pauses a gateway, as SIGSTOP does a process; returns when it is paused. */
  public void pauseGateway(String name) {
    gateways.get(name).pause();
  }

  /** Resumes a paused gateway; harmless for any other. */
  public void resumeGateway(String name) {
    gateways.get(name).resume().ifPresent(pauses::add);
  }

  /** Takes a share of a gateway's loop for some time, as another program on its machine would. */
  public void occupyGateway(String name, double share, long micros) {
    gateways.get(name).occupy(share, micros);
  }

  /** Shuts a gateway down gracefully; gives its final metrics. */
  public ObjectNode stopGateway(String name) {
    return gateways.get(name).stop();
  }

  /** A gateway's reports. */
  public Reporting reporting(String name) {
    return gateways.get(name).reporting();
  }

  /** A gateway. */
  public Gateway gateway(String name) {
    return gateways.get(name).gateway();
  }

  /** A gateway's process. */
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

  /** Waits until a gateway knows so many servers; false if it does not in time. */
  public boolean awaitServers(String gateway, int count, long timeoutMs) {
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (gateways.get(gateway).endpointCount() != count) {
      if (System.nanoTime() > untilNanos) {
        return false;
      }
      Thread.onSpinWait();
    }
    return true;
  }

  /** What passed on the emulators' sockets so far. */
  public List<TrafficEvent> events() {
    return copy(events);
  }

  /** Gateways killed so far. */
  public List<GatewayKill> kills() {
    return copy(kills);
  }

  /** Pauses of gateways so far. */
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
