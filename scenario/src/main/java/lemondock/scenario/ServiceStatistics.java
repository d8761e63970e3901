package lemondock.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.rpc.Mcp;

/** Statistics of how well the calls of a run were served. */
final class ServiceStatistics {
  private static final String ALL_CLASSES = "all";
  private static final int MICROS_PER_MILLI = 1_000;

  /** Characters that count as a thousand tokens for {@code aimMsPerThousandTokens}. */
  private static final int CHARS_PER_THOUSAND_TOKENS = 4000;

  /** Sums of priority weights. */
  private static final class Weights {
    private double inTime;
    private double requested;
  }

  private ServiceStatistics() {}

  /**
   * Priority weight served in time as a share of the weight requested, over all classes and by
   * class. A call and its retries count as one call, with the best of their values.
   */
  static Map<String, Double> valueInTimeShares(
      List<GatewaySettings.ClassSettings> classes, List<CallRecord> calls) {
    Map<String, List<CallRecord>> attemptsByCall = new LinkedHashMap<>();
    for (CallRecord call : calls) {
      attemptsByCall
          .computeIfAbsent(call.markOfFirstAttempt(), mark -> new ArrayList<>())
          .add(call);
    }
    Map<String, Weights> weightsByName = new LinkedHashMap<>();
    for (List<CallRecord> attempts : attemptsByCall.values()) {
      CallRecord first = attempts.get(0);
      GatewaySettings.ClassSettings requestClass = classes.get(first.classId);
      double bestValue =
          attempts.stream()
              .mapToDouble(attempt -> value(requestClass, attempt, first.calledAtMicros))
              .max()
              .orElse(0);
      for (String name : List.of(ALL_CLASSES, requestClass.name())) {
        Weights weights = weightsByName.computeIfAbsent(name, key -> new Weights());
        weights.inTime += bestValue;
        weights.requested += requestClass.worth();
      }
    }
    Map<String, Double> shares = new LinkedHashMap<>();
    weightsByName.forEach(
        (name, weights) ->
            shares.put(name, weights.requested == 0 ? 0 : weights.inTime / weights.requested));
    return shares;
  }

  /** The value of an answer: its full priority weight in time, part of it if late, 0 if missing. */
  private static double value(
      GatewaySettings.ClassSettings requestClass, CallRecord call, long fromMicros) {
    if (!call.served() || call.firstMessageAtMicros == 0) {
      return 0;
    }
    double objectiveMs =
        requestClass.aimMs()
            + requestClass.aimMsPerThousandTokens() * call.promptChars / CHARS_PER_THOUSAND_TOKENS;
    double firstTokenMs = (call.firstMessageAtMicros - fromMicros) / (double) MICROS_PER_MILLI;
    boolean isFirstTokenInTime = firstTokenMs <= objectiveMs;
    double streamMs =
        (call.answeredAtMicros - call.firstMessageAtMicros) / (double) MICROS_PER_MILLI;
    boolean isStreamInTime =
        !call.toolCalls.isEmpty()
            || streamMs <= Math.max(1, call.tokens) * requestClass.tokenAimMs();
    return requestClass.worth()
        * (isFirstTokenInTime && isStreamInTime ? 1 : requestClass.lateWorth());
  }

  /** Number of calls by outcome. */
  static Map<String, Integer> outcomeCounts(List<CallRecord> calls) {
    Map<String, Integer> counts = new TreeMap<>();
    calls.forEach(call -> counts.merge(outcome(call), 1, Integer::sum));
    return counts;
  }

  private static String outcome(CallRecord call) {
    if (call.notAccepted) {
      return "not taken";
    }
    if (call.cancelledAtMicros != 0) {
      return "left";
    }
    if (call.served()) {
      return "served";
    }
    if (call.errorCode == Mcp.REJECTED) {
      return "refused";
    }
    return call.errorCode != 0 ? "failed" : "broken off";
  }
}
