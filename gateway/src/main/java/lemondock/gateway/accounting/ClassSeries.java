package lemondock.gateway.accounting;

import java.util.HashMap;
import java.util.Map;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.Metrics;
import lemondock.metrics.Series;
import lemondock.metrics.Tally;

/** The series of one request class, which all its requests share. Loop thread only. */
final class ClassSeries {
  // Fields of Metrics.VERDICTS.
  static final int GOOD = 0;
  static final int BAD = 1;

  // Fields of Metrics.TOOLS.
  static final int TOOL_CALLS_RELAYED = 0;
  static final int TOOL_CALLS_ANSWERED = 1;
  static final int TOOL_CALLS_LOST = 2;

  final String className;

  /** In parts of {@link Metrics#WORTH_ONE}. */
  final long priorityWeight;

  /** Earned by an answer after its objective, in the same unit. */
  final long latePriorityWeight;

  final double tokenObjectiveMicros;
  final Series verdicts;
  final Series toolCalls;
  final Series firstToken;
  final Series tokenPace;
  final Series wholeTime;
  final Map<String, TenantSeries> byTenant = new HashMap<>();

  ClassSeries(Tally tally, GatewaySettings.ClassSettings settings, String zone) {
    className = settings.name();
    priorityWeight = Math.round(settings.worth() * Metrics.WORTH_ONE);
    latePriorityWeight = Math.round(settings.worth() * settings.lateWorth() * Metrics.WORTH_ONE);
    tokenObjectiveMicros = GatewaySettings.micros(settings.tokenAimMs());
    verdicts = tally.series(Metrics.VERDICTS, className, zone);
    toolCalls = tally.series(Metrics.TOOLS, className);
    firstToken = tally.series(Metrics.FIRST_TOKEN, className);
    tokenPace = tally.series(Metrics.TOKEN_PACE, className);
    wholeTime = tally.series(Metrics.WHOLE_TIME, className);
  }
}
