package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.exporter.host.ExporterRuntime;
import lemondock.gateway.Gateway;
import lemondock.gateway.GatewayEnvironment;
import lemondock.gateway.ProcessResources;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.reporting.Reporting;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.idempotency.FileSystemPort;
import lemondock.idempotency.LockedDirectory;
import lemondock.net.nio.LoopbackPort;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.WorkerPool;

/**
 * Gateways, engines and a catalogue in one process, over real loopback sockets. Each gateway and
 * each engine has sockets of its own and can be killed by itself. What passes is written down for
 * the auditor.
 */
public final class ScenarioFleet implements AutoCloseable {
  private static final String SERVICE = "engines";
  private static final String ANY_LOOPBACK_PORT = "127.0.0.1:0";
  private static final long LONG_AGO = 1;
  private static final long STOP_SECONDS = 30;
  private static final int WORKERS_QUEUE = 256;
  private static final int DISK_QUEUE = 64;
  private static final long OCCUPIED_EVERY = 20_000;

  private final EmulatedProcess standins = new EmulatedProcess("standins", 2);
  private final CatalogueEmulator catalogue;
  private final Map<String, Box> boxes = new LinkedHashMap<>();
  private final Map<String, Front> fronts = new LinkedHashMap<>();
  private final List<TrafficEvent> events = Collections.synchronizedList(new ArrayList<>());
  private final List<GatewayKill> killed = Collections.synchronizedList(new ArrayList<>());
  private final List<GatewayPause> stood = Collections.synchronizedList(new ArrayList<>());
  private final List<LoopbackPort> reservedPorts = Collections.synchronizedList(new ArrayList<>());
  private final PromptReader prompts;
  private final ExecutorService workers = WorkerPool.create(2, WORKERS_QUEUE, "rehearsal-worker");
  private UnaryOperator<FileSystemPort> files = f -> f;
  private ProcessResources machine =
      ProcessResources.UNKNOWN; // one process holds all gateways: it is no one's own
  private long seed;
  private SnapshotListener looks = (gateway, at, snapshot) -> {};

  private static final class Box {
    private EngineSettings settings;
    private EmulatedProcess node;
    private EngineEmulator engine;
  }

  private static final class Front {
    private GatewaySettings settings;
    private RouterFactory maker;
    private EmulatedProcess node;
    private PausableNetwork network;
    private LockedDirectory durable;

    private ExecutorService disk;

    /** What a dead process had not written is not written later. */
    void release() {
      disk.shutdownNow();
      try {
        if (!disk.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
          throw new IllegalStateException("the disk does not end");
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      try {
        if (durable != null) {
          durable.close();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    private Gateway gateway;
    private ExporterRuntime reports;
    private Reporting reporting;
  }

  /** Makes a fleet without engines and gateways; {@code classes} are those of its gateways. */
  public ScenarioFleet(List<GatewaySettings.ClassSettings> classes, long seed) {
    this.seed = seed;
    this.prompts = new PromptReader(classes);
    this.catalogue =
        standins.invokeAndWait(() -> new CatalogueEmulator(standins.loop(), events::add));
    try {
      catalogue.start(standins.network(), new InetSocketAddress("127.0.0.1", 0));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Hears of all looks from now on; before gateways are added. */
  public void onSnapshot(SnapshotListener hears) {
    looks = hears;
  }

  /** Puts something before the durable folders of gateways that are started from now on. */
  public void files(UnaryOperator<FileSystemPort> before) {
    files = before;
  }

  /** What gateways that are started from now on are told of their process. */
  public void machine(ProcessResources told) {
    machine = told;
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

  /** The catalogue, for its faults; use it on {@link #standins}. */
  public CatalogueEmulator catalogue() {
    return catalogue;
  }

  /** The stand-ins' node. */
  public EmulatedProcess emulators() {
    return standins;
  }

  /** Starts an engine that has been up for long, and lists it. */
  public void addEngine(EngineSettings settings) {
    Box box = new Box();
    box.settings =
        settings.listen().equals(ANY_LOOPBACK_PORT)
            ? settings.at("127.0.0.1:" + reservePort())
            : settings;
    boxes.put(settings.name(), box);
    up(box, false);
  }

  private void up(Box box, boolean cold) {
    box.node = new EmulatedProcess(standins, 1);
    EngineSettings now = cold ? box.settings : box.settings.withWarmUp(box.settings.coldShare(), 0);
    box.engine =
        standins.invokeAndWait(
            () ->
                new EngineEmulator(standins.loop(), box.node.network(), now, ++seed, events::add));
    try {
      box.engine.start(box.node.network());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    InetSocketAddress address = box.engine.address();
    box.settings = box.settings.at("127.0.0.1:" + address.getPort());
    EngineSettings s = box.settings;
    long started = cold ? System.currentTimeMillis() : LONG_AGO;
    standins.invokeAndWait(
        () -> {
          catalogue.put(
              new CatalogueEmulator.Service(
                  s.name(),
                  SERVICE,
                  "127.0.0.1",
                  address.getPort(),
                  Map.of(
                      "kind",
                      s.kind(),
                      "zone",
                      s.zone(),
                      "rack",
                      s.rack(),
                      "started",
                      Long.toString(started)),
                  false,
                  1));
          return null;
        });
  }

  /** Kills an engine: its connections break at once; the catalogue hears of it after the delay. */
  public void crash(String name, long noticeMicros) {
    Box box = boxes.get(name);
    standins.invokeAndWait(
        () -> {
          box.engine.died();
          return null;
        });
    box.node.close();
    standins.invokeAndWait(
        () ->
            standins
                .loop()
                .schedule(
                    noticeMicros,
                    () -> {
                      if (box.node != null) {
                        catalogue.remove(name);
                      }
                    }));
  }

  /** Starts a dead engine again, cold, on its old port. */
  public void restart(String name) {
    up(boxes.get(name), true);
  }

  /** Lets an engine drain, or not any more. */
  public void drain(String name, boolean on) {
    standins.invokeAndWait(
        () -> {
          catalogue.maintenance(name, on);
          return null;
        });
  }

  /** An engine; use it on {@link #standins}. */
  public EngineEmulator engine(String name) {
    return boxes.get(name).engine;
  }

  /** Names of the engines, in the order in which they were added. */
  public List<String> engines() {
    return List.copyOf(boxes.keySet());
  }

  /** Settings of all engines. */
  public List<EngineSettings> engineSettings() {
    return boxes.values().stream().map(b -> b.settings).toList();
  }

  /** Starts a gateway; its settings must name {@link #catalogueAddress}. */
  public void addGateway(GatewaySettings settings, RouterFactory maker) {
    Front front = new Front();
    front.settings = settings;
    front.maker = maker;
    fronts.put(settings.name(), front);
    startGateway(settings.name());
  }

  /** Starts a gateway that was killed or stopped, with nothing but its settings. */
  public void startGateway(String name) {
    Front front = fronts.get(name);
    front.node = new EmulatedProcess(name, front.settings.ioThreads());
    front.disk = WorkerPool.create(1, DISK_QUEUE, name + "-disk");
    front.network = new PausableNetwork(front.node.network(), front.node.loop());
    try {
      front.durable =
          front.settings.durable() == null
              ? null
              : new LockedDirectory(Path.of(front.settings.durable().path()));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    front.gateway =
        front.node.invokeAndWait(
            () ->
                new Gateway(
                    new GatewayEnvironment(
                        front.node.loop(),
                        front.network,
                        front.disk,
                        workers,
                        machine,
                        front.durable == null ? null : files.apply(front.durable)),
                    front.settings,
                    prompts,
                    front.maker));
    try {
      front.gateway.start();
      front.reports = new ExporterRuntime(name + "-reports");
      front.reporting =
          new Reporting(
              front.settings,
              front.gateway.metrics(),
              front.reports.environment(),
              new SimpleMeterRegistry());
      front.reporting.addTickListener(
          (stamp, snapshot) -> looks.onSnapshot(name, front.node.loop().now(), snapshot));
      front.reporting.start(front.gateway.address());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (SettingsException e) {
      throw new IllegalArgumentException(e.getMessage(), e);
    }
  }

  /** Kills a gateway at once. */
  public void kill(String name) {
    Front front = fronts.get(name);
    goOn(name);
    killed.add(new GatewayKill(name, front.node.loop().now()));
    front.node.close();
    front.reports.close();
    front.release();
  }

  /** Has a gateway stand still, as one whose process was stopped; returns when it does. */
  public void freeze(String name) {
    CountDownLatch begun = new CountDownLatch(1);
    fronts.get(name).network.stand(begun::countDown);
    try {
      if (!begun.await(STOP_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException("gateway " + name + " does not come to stand");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** Lets a gateway go on that stands still; harmless for any other. */
  public void goOn(String name) {
    Front front = fronts.get(name);
    long since = front.network.goOn();
    if (since != 0) {
      stood.add(new GatewayPause(name, since, front.node.loop().now()));
    }
  }

  /**
   * Takes a share of a gateway's decision context from it for some time, as a neighbour on its
   * machine would.
   */
  public void occupy(String name, double share, long micros) {
    ThreadLoop loop = fronts.get(name).node.loop();
    loop.execute(() -> occupy(loop, share, loop.now() + micros));
  }

  private static void occupy(ThreadLoop loop, double share, long until) {
    long free = loop.now() + (long) (share * OCCUPIED_EVERY);
    while (loop.now() < free) {
      LockSupport.parkNanos((free - loop.now()) * 1_000);
    }
    if (loop.now() < until) {
      loop.schedule((long) ((1 - share) * OCCUPIED_EVERY), () -> occupy(loop, share, until));
    }
  }

  /** Stops a gateway in order; gives its final tally. */
  public ObjectNode stopGateway(String name) {
    Front front = fronts.get(name);
    try {
      front.gateway.stop().get(STOP_SECONDS, TimeUnit.SECONDS);
      return front.reporting.finish().get(STOP_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("gateway " + name + " does not stop", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }

  /** A gateway's reports. */
  public Reporting reporting(String name) {
    return fronts.get(name).reporting;
  }

  /** A gateway. */
  public Gateway gateway(String name) {
    return fronts.get(name).gateway;
  }

  /** A gateway's node. */
  public EmulatedProcess node(String name) {
    return fronts.get(name).node;
  }

  /** Names of the gateways. */
  public List<String> gateways() {
    return List.copyOf(fronts.keySet());
  }

  /** A gateway's settings. */
  public GatewaySettings gatewaySettings(String name) {
    return fronts.get(name).settings;
  }

  /** Waits until a gateway lists so many servers; false if it does not in time. */
  public boolean awaitServers(String gateway, int count, long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    Front front = fronts.get(gateway);
    while (front.node.invokeAndWait(front.gateway::endpointCount) != count) {
      if (System.nanoTime() > until) {
        return false;
      }
      Thread.onSpinWait();
    }
    return true;
  }

  /** What passed on the stand-ins' sockets so far. */
  public List<TrafficEvent> events() {
    synchronized (events) {
      return List.copyOf(events);
    }
  }

  /** Gateways killed so far. */
  public List<GatewayKill> killed() {
    synchronized (killed) {
      return List.copyOf(killed);
    }
  }

  /** Times for which gateways stood still so far. */
  public List<GatewayPause> stood() {
    synchronized (stood) {
      return List.copyOf(stood);
    }
  }

  @Override
  public void close() {
    fronts
        .values()
        .forEach(
            f -> {
              f.network.goOn();
              f.node.close();
              f.reports.close();
              f.release();
            });
    boxes.values().forEach(b -> b.node.close());
    standins.close();
    workers.shutdownNow();
    reservedPorts.forEach(LoopbackPort::close);
  }
}
