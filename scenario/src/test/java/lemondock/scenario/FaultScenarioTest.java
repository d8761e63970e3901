package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemondock.idempotency.FileSystemPort;
import org.junit.jupiter.api.Test;

/** Short days on sockets keep the five rules. */
class FaultScenarioTest {
  @Test
  void aQuietDayServesAlmostAll() throws InterruptedException {
    FaultScenario.Result result =
        new FaultScenario(ScenarioScript.quiet().with("quiet", 3, 60, List.of())).play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.finding().breaches());
    assertTrue(result.service().get("all") > 0.8, result.service() + " " + result.endings());
  }

  @Test
  void gatewaysThatStandStillOrAreOccupiedKeepTheRules() throws InterruptedException {
    FaultScenario.Result result =
        new FaultScenario(
                ScenarioScript.quiet()
                    .with(
                        "frozen",
                        4,
                        60,
                        List.of(
                            new ScenarioScript.Trouble("gateway_freeze", 700, 1500, 0, 0),
                            new ScenarioScript.Trouble("fast_errors", 1000, 1500, 0.4, 0.6),
                            new ScenarioScript.Trouble("gateway_busy", 1500, 1500, 0, 0.8))))
            .play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.finding().breaches());
    assertTrue(result.service().get("all") > 0.5, result.service() + " " + result.endings());
  }

  /** Gateways die all the time, and clients ask for the same calls again when they are back. */
  private static FaultScenario deaths() {
    List<ScenarioScript.Trouble> kills = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      kills.add(new ScenarioScript.Trouble("gateway_kill", 500 + 500 * i, 300, 0, 0));
    }
    return new FaultScenario(ScenarioScript.quiet().with("deaths", 6, 120, kills));
  }

  @Test
  void whatMayRunOnceDoesSoOverTheDeathsOfItsGateways() throws InterruptedException {
    FaultScenario.Result result = deaths().play();
    assertEquals(
        Map.of(1, List.of(), 2, List.of(), 3, List.of(), 4, List.of(), 5, List.of()),
        result.finding().breaches());
    assertTrue(
        result.seen().stream().anyMatch(c -> "may_have_run".equals(c.became)),
        "no call was asked for again");
  }

  @Test
  void gatewaysThatForgetAreSeenToRunCallsAgain() throws InterruptedException {
    assertEquals(Set.of(2), deaths().files(Forgetful::new).play().finding().broken());
  }

  /** A folder that is found empty. */
  private static final class Forgetful extends ForwardingFiles {
    Forgetful(FileSystemPort files) {
      super(files);
    }

    @Override
    public List<String> fileNames() {
      return List.of();
    }
  }
}
