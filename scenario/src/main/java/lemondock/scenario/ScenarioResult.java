package lemondock.scenario;

import java.util.List;
import java.util.Map;

/**
 * The outcome of a fault scenario.
 *
 * @param valueInTimeShares priority weight served in time as a share of the weight requested, under
 *     the name of each request class and under {@code all}
 * @param outcomeCounts calls by how they ended
 * @param callCount calls that the clients made, retries included
 * @param engineRequests requests for prefill and decode that reached the engines
 * @param seconds how long the run took
 */
public record ScenarioResult(
    ScenarioScript script,
    AuditResult audit,
    Map<String, Double> valueInTimeShares,
    Map<String, Integer> outcomeCounts,
    int callCount,
    int engineRequests,
    double seconds,
    List<CallRecord> callRecords) {}
