package lemondock.emulator;

import lemondock.net.Loop;

/** How long work takes at an engine: slower while it warms up and by its faults. Loop only. */
final class EngineClock {
  private static final long MICROS_PER_MILLI = 1_000;

  private final Loop loop;
  private final EngineSettings settings;
  private final EngineFaults faults;
  private long startedAtMicros;
  private boolean dead;

  EngineClock(Loop loop, EngineSettings settings, EngineFaults faults) {
    this.loop = loop;
    this.settings = settings;
    this.faults = faults;
  }

  /** Begins the warm-up. */
  void start() {
    startedAtMicros = loop.now();
  }

  /** The engine died: it does nothing from now on. */
  void die() {
    dead = true;
  }

  boolean isDead() {
    return dead;
  }

  /** Runs a step of work after the time that it takes now, given the time at full speed. */
  void after(double fullSpeedMs, Runnable step) {
    loop.schedule(Math.round(fullSpeedMs * MICROS_PER_MILLI * slowdown()), step);
  }

  private double slowdown() {
    double warmedShare =
        settings.warmUpMs() <= 0
            ? 1
            : Math.min(
                1, (loop.now() - startedAtMicros) / (settings.warmUpMs() * MICROS_PER_MILLI));
    return faults.slowdown / (settings.coldShare() + (1 - settings.coldShare()) * warmedShare);
  }
}
