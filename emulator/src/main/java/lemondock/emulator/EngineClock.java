package lemondock.emulator;

import lemondock.net.Loop;

/** Schedules an engine's work, slowed down by its warm-up and faults. Loop thread only. */
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

  /** Starts the warm-up. */
  void start() {
    startedAtMicros = loop.now();
  }

  /** Records that the engine's process died; its jobs and server do nothing after that. */
  void markDead() {
    dead = true;
  }

  boolean isDead() {
    return dead;
  }

  /** Schedules a step after its duration at full speed multiplied by the current slowdown. */
  void runAfter(double fullSpeedMs, Runnable step) {
    loop.schedule(Math.round(fullSpeedMs * MICROS_PER_MILLI * slowdown()), step);
  }

  private double slowdown() {
    double warmUpProgress =
        settings.warmUpMs() <= 0
            ? 1
            : Math.min(
                1, (loop.now() - startedAtMicros) / (settings.warmUpMs() * MICROS_PER_MILLI));
    return faults.slowdown / (settings.coldShare() + (1 - settings.coldShare()) * warmUpProgress);
  }
}
