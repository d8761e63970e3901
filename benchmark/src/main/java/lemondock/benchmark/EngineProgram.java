package lemondock.benchmark;

import java.util.List;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficObserver;
import lemondock.scenario.EmulatedProcess;

/**
 * An emulated engine that never runs out of KV-cache memory. Arguments: {@code SLOTS TOKEN_MILLIS}.
 */
final class EngineProgram implements ChildProgram {
  private static final int IO_THREADS = 2;
  private static final long SEED = 1;

  @Override
  public void run(List<String> arguments) throws Exception {
    int slots = Integer.parseInt(arguments.get(0));
    double tokenMillis = Double.parseDouble(arguments.get(1));
    EmulatedProcess process = new EmulatedProcess("engine", IO_THREADS);
    EngineEmulator engine =
        process.invokeAndWait(
            () ->
                new EngineEmulator(
                    process.loop(),
                    process.network(),
                    settings(slots, tokenMillis),
                    SEED,
                    TrafficObserver.NONE));
    engine.start(process.network());
    System.out.println("ready " + engine.address().getPort());
    Thread.sleep(Long.MAX_VALUE);
  }

  private static EngineSettings settings(int slots, double tokenMillis) {
    return new EngineSettings(
        "mixed",
        "127.0.0.1:0",
        "mixed",
        "mixed",
        "north",
        "r1",
        slots,
        slots,
        Long.MAX_VALUE / 4,
        1e9,
        1,
        1,
        tokenMillis,
        1,
        0,
        null);
  }
}
