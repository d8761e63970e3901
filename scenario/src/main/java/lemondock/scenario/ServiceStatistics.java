package lemondock.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.rpc.Mcp;

/** How well the calls of a run were served. */
final class ServiceStatistics {
  private static final String ALL_CLASSES = "all";
  private static final int MICROS_PER_MILLI = 1_000;

  /** Characters in the unit of {@code aimMsPerThousandTokens}. */
  private static final int CHARS_PER_THOUSAND_TOKENS = 4000;

  /** Sums of priority weights. */
  private static final class Weights {
    private double inTime;
    private double requested;
  }

  private ServiceStatistics() {}

  /**
   * Priority weight served in time as a share of the weight requested, over all classes and by
   * class; the attempts of a client at a call count as one call.
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
      double best =
          attempts.stream()
              .mapToDouble(attempt -> value(requestClass, attempt, first.calledAtMicros))
              .max()
              .orElse(0);
      for (String name : List.of(ALL_CLASSES, requestClass.name())) {
        Weights weights = weightsByName.computeIfAbsent(name, key -> new Weights());
        weights.inTime += best;
        weights.requested += requestClass.worth();
      }
    }
    Map<String, Double> shares = new LinkedHashMap<>();
    weightsByName.forEach(
        (name, weights) ->
            shares.put(name, weights.requested == 0 ? 0 : weights.inTime / weights.requested));
    return shares;
  }

  /** The priority weight of an answer: all of it in time, less of it late, none without answer. */
  private static double value(
      GatewaySettings.ClassSettings requestClass, CallRecord call, long fromMicros) {
    if (!call.served() || call.firstMessageAtMicros == 0) {
      return 0;
    }
    double objectiveMs =
        requestClass.aimMs()
            + requestClass.aimMsPerThousandTokens() * call.promptChars / CHARS_PER_THOUSAND_TOKENS;
    double firstTokenMs = (call.firstMessageAtMicros - fromMicros) / (double) MICROS_PER_MILLI;
    boolean isPrompt = firstTokenMs <= objectiveMs;
    double streamMs =
        (call.answeredAtMicros - call.firstMessageAtMicros) / (double) MICROS_PER_MILLI;
    boolean isSteady =
        !call.toolCalls.isEmpty()
            || streamMs <= Math.max(1, call.tokens) * requestClass.tokenAimMs();
    return requestClass.worth() * (isPrompt && isSteady ? 1 : requestClass.lateWorth());
  }

  /** Calls by how they ended. */
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
