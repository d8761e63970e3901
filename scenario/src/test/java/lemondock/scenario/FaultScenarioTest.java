package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemondock.idempotency.FileSystemPort;
import org.junit.jupiter.api.Test;

/** Short fault scenarios over real sockets, audited against the five rules. */
class FaultScenarioTest {
  @Test
  void scenarioWithoutFaultsServesAlmostAllCalls() throws InterruptedException {
    ScenarioResult result =
        new FaultScenario(ScenarioScript.withDefaults().withLoad("quiet", 3, 60, List.of())).play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.audit().violations());
    assertTrue(
        result.valueInTimeShares().get("all") > 0.8,
        result.valueInTimeShares() + " " + result.outcomeCounts());
  }

  @Test
  void pausedAndBusyGatewaysKeepTheRules() throws InterruptedException {
    ScenarioResult result =
        new FaultScenario(
                ScenarioScript.withDefaults()
                    .withLoad(
                        "frozen",
                        4,
                        60,
                        List.of(
                            new ScriptedFault(FaultKind.GATEWAY_FREEZE, 700, 1500, 0, 0),
                            new ScriptedFault(FaultKind.FAST_ERRORS, 1000, 1500, 0.4, 0.6),
                            new ScriptedFault(FaultKind.GATEWAY_BUSY, 1500, 1500, 0, 0.8))))
            .play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.audit().violations());
    assertTrue(
        result.valueInTimeShares().get("all") > 0.5,
        result.valueInTimeShares() + " " + result.outcomeCounts());
  }

  /** Gateways are killed repeatedly, and clients repeat their calls after each restart. */
  private static FaultScenario repeatedKills() {
    List<ScriptedFault> kills = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      kills.add(new ScriptedFault(FaultKind.GATEWAY_KILL, 500 + 500 * i, 300, 0, 0));
    }
    return new FaultScenario(ScenarioScript.withDefaults().withLoad("deaths", 6, 120, kills));
  }

  @Test
  void nonIdempotentCallsRunAtMostOnceAcrossGatewayKills() throws InterruptedException {
    ScenarioResult result = repeatedKills().play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.audit().violations());
    assertTrue(
        result.callRecords().stream().anyMatch(c -> "may_have_run".equals(c.earlierAttemptOutcome)),
        "no repeated call reported may_have_run for its earlier attempt");
  }

  @Test
  void lostIdempotencyStoreIsDetectedAsDuplicateEffects() throws InterruptedException {
    assertEquals(
        Set.of(2),
        repeatedKills().decorateFileSystem(EmptyListingFiles::new).play().audit().violatedRules());
  }

  /** A directory that always appears empty, as if the idempotency store were lost. */
  private static final class EmptyListingFiles extends ForwardingFiles {
    EmptyListingFiles(FileSystemPort files) {
      super(files);
    }

    @Override
    public List<String> fileNames() {
      return List.of();
    }
  }
}
