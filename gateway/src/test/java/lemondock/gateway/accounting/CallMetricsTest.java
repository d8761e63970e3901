package lemondock.gateway.accounting;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.settings.SettingsFile;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricsSnapshot;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.ServerRole;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What a call counts as, by the times at which things happen to it. Aim 100 ms and 10 a token,
 * worth 3, late worth a fifth.
 */
class CallMetricsTest {
  private static final long MS = 1_000;
  private GatewayMetrics metrics;

  @BeforeEach
  void make() throws Exception {
    metrics =
        new GatewayMetrics(
            SettingsFile.readGateway(
                "t",
                new ObjectMapper()
                    .readTree(
                        """
                        {"name": "t", "zone": "z", "front": {"listen": "127.0.0.1:1"}, "discovery": {"kind": "file", "path": "x"},
                         "classes": [{"name": "c", "aimMs": 100, "aimMsPerThousandTokens": 50, "deadlineMs": 1000, "worth": 3,
                           "lateWorth": 0.2, "tokenAimMs": 10}],
                         "kinds": [{"name": "m", "role": "mixed"}]}\
                        """)));
  }

  private static AnswerOutcome end(AnswerOutcome.Kind end, int tokens) {
    return new AnswerOutcome(end, new AnswerOutcome.Totals("", tokens, 0, 0), "stop", 0, "");
  }

  /**
   * Worth asked, again, in time, late; then taken, repeats, served, refused, failed, left; then
   * good, bad.
   */
  private void assertCounts(String worth, String requests, String verdicts) {
    MetricsSnapshot s = metrics.registry().snapshotAndEndInterval();
    assertEquals(
        worth, row(s, MetricFamilies.PRIORITY_WEIGHT, List.of("c", "z", "none"), 1_000_000));
    assertEquals(requests, row(s, MetricFamilies.REQUESTS, List.of("c", "z", "none"), 1));
    assertEquals(verdicts, row(s, MetricFamilies.SERVICE_LEVEL, List.of("c", "z"), 1));
  }

  private static String row(
      MetricsSnapshot s, MetricFamily family, List<String> labels, long part) {
    StringBuilder text = new StringBuilder();
    family
        .fields()
        .forEach(
            f ->
                text.append(text.isEmpty() ? "" : " ")
                    .append((double) s.value(family, f.name(), labels) / part));
    return text.toString().replace(".0", "");
  }

  private CallMetrics taken() {
    return metrics.requests().requestAccepted(0, Optional.empty(), false, 1000, 0); // aim 150 ms
  }

  @Test
  void inTimeAndAtPace() {
    CallMetrics call = taken();
    assertEquals(150 * MS, call.latencyObjectiveMicros());
    call.onDelivered(150 * MS);
    call.onObjectivePassed();
    call.onDelivered(160 * MS);
    call.onEnded(240 * MS, end(AnswerOutcome.Kind.SERVED, 10));
    call.onEnded(250 * MS, end(AnswerOutcome.Kind.FAILED, 10)); // ends once
    assertCounts("3 0 3 0", "1 0 1 0 0 0", "1 0");
  }

  @Test
  void aFirstTokenTooLateEarnsTheLateWorth() {
    CallMetrics call = taken();
    call.onObjectivePassed();
    call.onDelivered(151 * MS);
    call.onEnded(200 * MS, end(AnswerOutcome.Kind.SERVED, 5));
    assertCounts("3 0 0 0.6", "1 0 1 0 0 0", "0 1");
  }

  @Test
  void aStreamTooSlowEarnsTheLateWorthUpToTwiceThePace() {
    CallMetrics call = taken();
    call.onDelivered(10 * MS);
    call.onEnded((10 + 81) * MS, end(AnswerOutcome.Kind.SERVED, 5)); // 4 gaps of 20.25 ms
    CallMetrics other = taken();
    other.onDelivered(10 * MS);
    other.onEnded((10 + 79) * MS, end(AnswerOutcome.Kind.SERVED, 5));
    assertCounts("6 0 0 0.6", "2 0 2 0 0 0", "2 2");
  }

  @Test
  void theTimeOfToolsIsNotTheWriters() {
    CallMetrics call = taken();
    call.onDelivered(100 * MS);
    call.onToolCallRelayed(110 * MS);
    call.onToolCallRelayed(110 * MS);
    call.onToolCallAnswered();
    call.onToolCallLost();
    call.onDelivered(5_000 * MS);
    call.onToolCallRelayed(5_010 * MS);
    call.onEnded(9_000 * MS, end(AnswerOutcome.Kind.SERVED, 3));
    assertCounts("3 0 3 0", "1 0 1 0 0 0", "1 0");
    assertEquals(
        "3 1 2",
        row(
            metrics.registry().snapshotAndEndInterval(),
            MetricFamilies.TOOL_CALLS,
            List.of("c"),
            1));
  }

  @Test
  void aCallThatEndsWhileItsToolsRunHasLostThem() {
    CallMetrics call = taken();
    call.onToolCallRelayed(10 * MS);
    call.onToolCallRelayed(10 * MS);
    call.onEnded(20 * MS, end(AnswerOutcome.Kind.CANCELLED, 0));
    assertEquals(0, call.pendingToolCalls());
    assertEquals(
        "2 0 2",
        row(
            metrics.registry().snapshotAndEndInterval(),
            MetricFamilies.TOOL_CALLS,
            List.of("c"),
            1));
  }

  @Test
  void refusedFailedAndLeft() {
    taken().onEnded(5 * MS, end(AnswerOutcome.Kind.REJECTED, 0));
    CallMetrics failed = taken();
    failed.onDelivered(10 * MS);
    failed.onEnded(50 * MS, end(AnswerOutcome.Kind.FAILED, 3)); // it began well: one good, one bad
    taken()
        .onEnded(
            5 * MS,
            end(AnswerOutcome.Kind.CANCELLED, 0)); // who leaves early says nothing of service
    CallMetrics late = taken();
    late.onObjectivePassed();
    late.onEnded(900 * MS, end(AnswerOutcome.Kind.CANCELLED, 0));
    metrics.requests().requestRejected(0, Optional.empty(), true);
    assertCounts("12 3 0 0", "5 1 0 2 1 2", "1 4");
  }

  @Test
  void whatIsNeverSentIsNoPaceAndAnswersWithoutTextAreInTime() {
    CallMetrics call = taken();
    call.onEnded(50 * MS, end(AnswerOutcome.Kind.SERVED, 0));
    assertCounts("3 0 3 0", "1 0 1 0 0 0", "1 0");
  }

  @Test
  void statesAndAttemptsAreCountedByWhere() {
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateFetched("south", 7 * MS);
    metrics.attempts().stateReleased("south", 9 * MS);
    metrics.attempts().attemptSent(ServerRole.WRITER, "south");
    for (AttemptOutcome ending : AttemptOutcome.values()) {
      metrics.attempts().attemptEnded(ServerRole.WRITER, "south", ending);
    }
    for (int i = 0; i < 200; i++) {
      metrics.attempts().attemptSent(ServerRole.READER, "zone" + i);
    }
    MetricsSnapshot s = metrics.registry().snapshotAndEndInterval();
    assertEquals("3 1 1 1", row(s, MetricFamilies.RESERVED_STATES, List.of("south"), 1));
    assertEquals(2, s.value(MetricFamilies.RESERVED_STATE_DURATION, "count", List.of("south")));
    assertEquals(
        "1 1 1 1 1 1 1 1 1 1", row(s, MetricFamilies.ATTEMPTS, List.of("writer", "south"), 1));
    assertEquals(137, s.value(MetricFamilies.ATTEMPTS, "sent", List.of("reader", "other")));
  }
}
