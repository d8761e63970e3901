package lemondock.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Map;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficObserver;

/**
 * An emulated engine of a fleet. It shares the emulators' loop, has its own sockets, is listed in
 * the catalogue, and can crash and be restarted. Used by the thread that runs the fleet.
 */
final class EmulatedEngine {
  private static final String SERVICE = "engines";
  private static final String LOOPBACK = "127.0.0.1";

  /** Start time, in milliseconds since the epoch, of an engine whose warm-up ended long ago. */
  private static final long LONG_AGO_MS = 1;

  private final EmulatedProcess emulators;
  private final CatalogueEmulator catalogue;
  private final TrafficObserver observer;
  private EngineSettings settings;

  // Set by each start.
  private EmulatedProcess process;
  private EngineEmulator emulator;

  private EmulatedEngine(
      EmulatedProcess emulators,
      CatalogueEmulator catalogue,
      TrafficObserver observer,
      EngineSettings settings) {
    this.emulators = emulators;
    this.catalogue = catalogue;
    this.observer = observer;
    this.settings = settings;
  }

  /** Starts an engine that is already warmed up and lists it in the catalogue. */
  static EmulatedEngine startWarm(
      EmulatedProcess emulators,
      CatalogueEmulator catalogue,
      TrafficObserver observer,
      EngineSettings settings,
      long seed) {
    EmulatedEngine engine = new EmulatedEngine(emulators, catalogue, observer, settings);
    engine.start(settings.withWarmUp(settings.coldShare(), 0), seed, LONG_AGO_MS);
    return engine;
  }

  /** Restarts the engine after {@link #crash}, cold and on its previous port. */
  void restart(long seed) {
    start(settings, seed, System.currentTimeMillis());
  }

  private void start(EngineSettings startSettings, long seed, long startedAtMs) {
    process = new EmulatedProcess(emulators, 1);
    emulator =
        emulators.invokeAndWait(
            () ->
                new EngineEmulator(
                    emulators.loop(), process.network(), startSettings, seed, observer));
    try {
      emulator.start(process.network());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    InetSocketAddress address = emulator.address();
    settings = settings.withListen(LOOPBACK + ":" + address.getPort());
    CatalogueEmulator.Service service = service(address, startedAtMs);
    emulators.invokeAndWait(() -> catalogue.put(service));
  }

  private CatalogueEmulator.Service service(InetSocketAddress address, long startedAtMs) {
    Map<String, String> meta =
        Map.of(
            "kind", settings.kind(),
            "zone", settings.zone(),
            "rack", settings.rack(),
            "started", Long.toString(startedAtMs));
    return new CatalogueEmulator.Service(
        settings.name(), SERVICE, LOOPBACK, address.getPort(), meta, false, 1);
  }

  /**
   * Breaks the engine's connections at once.
   *
   * @param removalDelayMicros time until the catalogue removes the engine
   */
  void crash(long removalDelayMicros) {
    emulators.invokeAndWait(() -> emulator.markDead());
    process.close();
    emulators.invokeAndWait(
        () ->
            emulators.loop().schedule(removalDelayMicros, () -> catalogue.remove(settings.name())));
  }

  void setDraining(boolean draining) {
    emulators.invokeAndWait(() -> catalogue.setMaintenance(settings.name(), draining));
  }

  /** The emulator of the latest start; to be used on the emulators' loop. */
  EngineEmulator emulator() {
    return emulator;
  }

  EngineSettings settings() {
    return settings;
  }

  /** Closes the engine's sockets. */
  void close() {
    process.close();
  }
}
