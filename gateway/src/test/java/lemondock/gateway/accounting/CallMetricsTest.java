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
 * Tests that calls are counted correctly for given times of their events. The class has a latency
 * objective of 100 ms plus 50 ms per thousand prompt tokens, a pace objective of 10 ms per token,
 * priority weight 3, and earns a fifth of it for late answers.
 */
class CallMetricsTest {
  private static final long MS = 1_000;
  private GatewayMetrics metrics;

  @BeforeEach
  void createMetrics() throws Exception {
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

  private static AnswerOutcome outcome(AnswerOutcome.Kind kind, int tokens) {
    return new AnswerOutcome(kind, new AnswerOutcome.Totals("", tokens, 0, 0), "stop", 0, "");
  }

  /**
   * Compares the counts of the class. Priority weight: requested, retried, in time, late. Requests:
   * accepted, retries, served, rejected, failed, cancelled. Service level: good, bad.
   */
  private void assertCounts(String priorityWeight, String requests, String serviceLevel) {
    MetricsSnapshot snapshot = metrics.registry().snapshotAndEndInterval();
    assertEquals(
        priorityWeight,
        row(snapshot, MetricFamilies.PRIORITY_WEIGHT, List.of("c", "z", "none"), 1_000_000));
    assertEquals(requests, row(snapshot, MetricFamilies.REQUESTS, List.of("c", "z", "none"), 1));
    assertEquals(serviceLevel, row(snapshot, MetricFamilies.SERVICE_LEVEL, List.of("c", "z"), 1));
  }

  private static String row(
      MetricsSnapshot snapshot, MetricFamily family, List<String> labels, long scale) {
    StringBuilder text = new StringBuilder();
    family
        .fields()
        .forEach(
            field ->
                text.append(text.isEmpty() ? "" : " ")
                    .append((double) snapshot.value(family, field.name(), labels) / scale));
    return text.toString().replace(".0", "");
  }

  /** Accepts a call of 1000 prompt tokens at time 0; its latency objective is 150 ms. */
  private CallMetrics acceptCall() {
    return metrics.requests().requestAccepted(0, Optional.empty(), false, 1000, 0);
  }

  @Test
  void countsAnAnswerWithinBothObjectivesAsInTime() {
    CallMetrics call = acceptCall();
    assertEquals(150 * MS, call.latencyObjectiveMicros());
    call.onDelivered(150 * MS);
    call.onObjectivePassed();
    call.onDelivered(160 * MS);
    call.onEnded(240 * MS, outcome(AnswerOutcome.Kind.SERVED, 10));
    // ignored, because the call has already ended
    call.onEnded(250 * MS, outcome(AnswerOutcome.Kind.FAILED, 10));
    assertCounts("3 0 3 0", "1 0 1 0 0 0", "1 0");
  }

  @Test
  void lateFirstTokenEarnsTheLateWeight() {
    CallMetrics call = acceptCall();
    call.onObjectivePassed();
    call.onDelivered(151 * MS);
    call.onEnded(200 * MS, outcome(AnswerOutcome.Kind.SERVED, 5));
    assertCounts("3 0 0 0.6", "1 0 1 0 0 0", "0 1");
  }

  @Test
  void streamUpToTwiceAsSlowAsItsObjectiveEarnsTheLateWeight() {
    CallMetrics call = acceptCall();
    call.onDelivered(10 * MS);
    call.onEnded((10 + 81) * MS, outcome(AnswerOutcome.Kind.SERVED, 5)); // 4 gaps of 20.25 ms
    CallMetrics fasterCall = acceptCall();
    fasterCall.onDelivered(10 * MS);
    fasterCall.onEnded((10 + 79) * MS, outcome(AnswerOutcome.Kind.SERVED, 5));
    assertCounts("6 0 0 0.6", "2 0 2 0 0 0", "2 2");
  }

  @Test
  void excludesToolTimeFromTheTokenPace() {
    CallMetrics call = acceptCall();
    call.onDelivered(100 * MS);
    call.onToolCallRelayed(110 * MS);
    call.onToolCallRelayed(110 * MS);
    call.onToolCallAnswered();
    call.onToolCallLost();
    call.onDelivered(5_000 * MS);
    call.onToolCallRelayed(5_010 * MS);
    call.onEnded(9_000 * MS, outcome(AnswerOutcome.Kind.SERVED, 3));
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
  void countsPendingToolCallsAsLostWhenTheCallEnds() {
    CallMetrics call = acceptCall();
    call.onToolCallRelayed(10 * MS);
    call.onToolCallRelayed(10 * MS);
    call.onEnded(20 * MS, outcome(AnswerOutcome.Kind.CANCELLED, 0));
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
  void countsRejectedFailedAndCancelledCalls() {
    acceptCall().onEnded(5 * MS, outcome(AnswerOutcome.Kind.REJECTED, 0));
    CallMetrics failed = acceptCall();
    failed.onDelivered(10 * MS);
    // the first token was in time and the answer failed: one good, one bad
    failed.onEnded(50 * MS, outcome(AnswerOutcome.Kind.FAILED, 3));
    // cancelled before the objective passed: neither good nor bad
    acceptCall().onEnded(5 * MS, outcome(AnswerOutcome.Kind.CANCELLED, 0));
    CallMetrics late = acceptCall();
    late.onObjectivePassed();
    late.onEnded(900 * MS, outcome(AnswerOutcome.Kind.CANCELLED, 0));
    metrics.requests().requestRejected(0, Optional.empty(), true);
    assertCounts("12 3 0 0", "5 1 0 2 1 2", "1 4");
  }

  @Test
  void countsAnAnswerWithoutTextAsInTime() {
    CallMetrics call = acceptCall();
    call.onEnded(50 * MS, outcome(AnswerOutcome.Kind.SERVED, 0));
    assertCounts("3 0 3 0", "1 0 1 0 0 0", "1 0");
  }

  @Test
  void countsStatesAndAttemptsByZone() {
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateReserved("south");
    metrics.attempts().stateFetched("south", 7 * MS);
    metrics.attempts().stateReleased("south", 9 * MS);
    metrics.attempts().attemptSent(ServerRole.WRITER, "south");
    for (AttemptOutcome outcome : AttemptOutcome.values()) {
      metrics.attempts().attemptEnded(ServerRole.WRITER, "south", outcome);
    }
    for (int i = 0; i < 200; i++) {
      metrics.attempts().attemptSent(ServerRole.READER, "zone" + i);
    }
    MetricsSnapshot snapshot = metrics.registry().snapshotAndEndInterval();
    assertEquals("3 1 1 1", row(snapshot, MetricFamilies.RESERVED_STATES, List.of("south"), 1));
    assertEquals(
        2, snapshot.value(MetricFamilies.RESERVED_STATE_DURATION, "count", List.of("south")));
    assertEquals(
        "1 1 1 1 1 1 1 1 1 1",
        row(snapshot, MetricFamilies.ATTEMPTS, List.of("writer", "south"), 1));
    assertEquals(137, snapshot.value(MetricFamilies.ATTEMPTS, "sent", List.of("reader", "other")));
  }
}
