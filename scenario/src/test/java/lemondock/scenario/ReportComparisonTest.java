package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What collectors are told agrees with the gateways' own final tally, through a day of troubles.
 */
class ReportComparisonTest {
  @Test
  void allFormsAgreeWithTheFinalTallyAfterABadDay() throws InterruptedException, IOException {
    ScenarioScript day =
        ScenarioScript.withDefaults()
            .withLoad(
                "reported",
                3,
                60,
                List.of(
                    new ScriptedFault(FaultKind.FAST_ERRORS, 500, 1500, 0.4, 0.8),
                    new ScriptedFault(FaultKind.GATEWAY_KILL, 1000, 600, 0, 0)));
    try (ReportComparison check = new ReportComparison()) {
      ScenarioResult result = new FaultScenario(day).compareReports(check).play();
      assertTrue(result.audit().allRulesKept(), result.audit().toString());
      assertEquals(List.of(), check.differences());
      assertTrue(check.compared() > 1_000, "compared only " + check.compared());
      for (String form : List.of("bare", "signed", "encrypted")) {
        assertEquals(0, check.collectdListener(form).received().unreadable());
        assertTrue(check.collectdListener(form).largestPacketBytes() <= 1_452);
      }
      assertEquals(
          0,
          check.graphiteListener("plain").received().unreadable()
              + check.graphiteListener("pickle").received().unreadable());
      assertTrue(
          check.finalMetrics().stream()
              .flatMap(t -> t.at("/tally/worth").findValuesAsText("tenant").stream())
              .collect(java.util.stream.Collectors.toSet())
              .containsAll(List.of("omaruru.tills", "mondesa/traders")));
      long served = 0;
      for (JsonNode tally : check.finalMetrics()) {
        for (JsonNode row : tally.at("/tally/requests")) {
          served += row.get("served").longValue();
          assertEquals(
              row.get("taken").longValue(),
              row.get("served").longValue()
                  + row.get("refused").longValue()
                  + row.get("failed").longValue()
                  + row.get("left").longValue(),
              row.toString());
        }
      }
      assertTrue(served > 50 && served <= result.callCount(), "served " + served);
    }
  }
}
