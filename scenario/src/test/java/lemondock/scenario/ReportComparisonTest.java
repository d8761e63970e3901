package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that the reports which the collectors receive agree with the gateways' own final metrics
 * after a scenario with faults.
 */
class ReportComparisonTest {
  @Test
  void allReportFormatsAgreeWithFinalMetricsAfterFaults() throws InterruptedException, IOException {
    ScenarioScript script =
        ScenarioScript.withDefaults()
            .withLoad(
                "reported",
                3,
                60,
                List.of(
                    new ScriptedFault(FaultKind.FAST_ERRORS, 500, 1500, 0.4, 0.8),
                    new ScriptedFault(FaultKind.GATEWAY_KILL, 1000, 600, 0, 0)));
    try (ReportComparison comparison = new ReportComparison()) {
      ScenarioResult result = new FaultScenario(script).compareReports(comparison).play();
      assertTrue(result.audit().allRulesKept(), result.audit().toString());
      assertEquals(List.of(), comparison.differences());
      assertTrue(
          comparison.compared() > 1_000,
          "expected more than 1000 compared values, got " + comparison.compared());
      for (String variant : List.of("bare", "signed", "encrypted")) {
        assertEquals(0, comparison.collectdListener(variant).received().unreadable());
        assertTrue(comparison.collectdListener(variant).largestPacketBytes() <= 1_452);
      }
      assertEquals(
          0,
          comparison.graphiteListener("plain").received().unreadable()
              + comparison.graphiteListener("pickle").received().unreadable());
      assertTrue(
          comparison.finalMetrics().stream()
              .flatMap(metrics -> metrics.at("/tally/worth").findValuesAsText("tenant").stream())
              .collect(java.util.stream.Collectors.toSet())
              .containsAll(List.of("omaruru.tills", "mondesa/traders")));
      long served = 0;
      for (JsonNode metrics : comparison.finalMetrics()) {
        for (JsonNode row : metrics.at("/tally/requests")) {
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
      assertTrue(
          served > 50 && served <= result.callCount(),
          "served " + served + " of " + result.callCount() + " calls");
    }
  }
}
