package lemondock.gateway.accounting;

import java.util.HashMap;
import java.util.Map;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Series;

/** The metric series of one request class, shared by all calls of the class. Loop thread only. */
final class ClassSeries {
  // Fields of MetricFamilies.SERVICE_LEVEL.
  static final int GOOD = 0;
  static final int BAD = 1;

  // Fields of MetricFamilies.TOOL_CALLS.
  static final int TOOL_CALLS_RELAYED = 0;
  static final int TOOL_CALLS_ANSWERED = 1;
  static final int TOOL_CALLS_LOST = 2;

  final String className;

  /** Priority weight of a call, multiplied by {@link MetricFamilies#PRIORITY_WEIGHT_SCALE}. */
  final long priorityWeight;

  /** Priority weight of an answer that missed its objective, in the same unit. */
  final long latePriorityWeight;

  final double tokenObjectiveMicros;
  final Series serviceLevelCounts;
  final Series toolCalls;
  final Series timeToFirstToken;
  final Series timePerOutputToken;
  final Series requestDuration;
  final Map<String, TenantSeries> byTenant = new HashMap<>();

  ClassSeries(MetricRegistry registry, GatewaySettings.ClassSettings settings, String zone) {
    className = settings.name();
    priorityWeight = Math.round(settings.worth() * MetricFamilies.PRIORITY_WEIGHT_SCALE);
    latePriorityWeight =
        Math.round(settings.worth() * settings.lateWorth() * MetricFamilies.PRIORITY_WEIGHT_SCALE);
    tokenObjectiveMicros = GatewaySettings.micros(settings.tokenAimMs());
    serviceLevelCounts = registry.series(MetricFamilies.SERVICE_LEVEL, className, zone);
    toolCalls = registry.series(MetricFamilies.TOOL_CALLS, className);
    timeToFirstToken = registry.series(MetricFamilies.TIME_TO_FIRST_TOKEN, className);
    timePerOutputToken = registry.series(MetricFamilies.TIME_PER_OUTPUT_TOKEN, className);
    requestDuration = registry.series(MetricFamilies.REQUEST_DURATION, className);
  }
}
