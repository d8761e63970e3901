package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A short seeded soak: real gateway processes under several faults at a time. More seeds by hand:
 * bin/soak.
 */
@Timeout(120)
class SoakTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final int MIN_SERVED = 100;

  @TempDir Path folder;

  @ParameterizedTest
  @ValueSource(longs = {3, 4, 9, 17})
  void noRuleIsBroken(long seed) throws Exception {
    play(seed, FaultPlan.draw(seed));
  }

  /** New configurations and requests to end in quick succession, with connections in use. */
  @ParameterizedTest
  @ValueSource(longs = {101, 102})
  void noRuleIsBrokenBySignalsInSeries(long seed) throws Exception {
    play(seed, FaultPlan.drawWithSignals(seed));
  }

  /**
   * Reads whose answers are lost cannot be told from slow ones in time, and first requests after a
   * start are read late (docs/incidents/r36-held-state.md).
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 8, 12, 46})
  void noRuleIsBrokenBySeedsWithOpenFaults(long seed) throws Exception {
    play(seed, FaultPlan.draw(seed));
  }

  private void play(long seed, FaultPlan plan) throws Exception {
    Optional<Path> library = FaultShim.compile(PROJECT, folder);
    SoakResult result = new SoakRun(PROJECT, folder.resolve("run"), library, seed, plan).play();
    System.out.println(result);
    assertEquals(List.of(), result.breaches(), result.toString());
    assertEquals(List.of(), result.rigFailures());
    assertTrue(
        result.outcomes().getOrDefault(CallOutcome.SERVED, 0) > MIN_SERVED,
        "enough is served: " + result);
  }
}
