package lemondock.scenario;

import java.util.List;
import java.util.Map;

/**
 * The result of a fault scenario.
 *
 * @param valueInTimeShares priority weight served in time as a share of the weight requested, keyed
 *     by the name of each request class and by {@code all}
 * @param outcomeCounts number of calls by outcome
 * @param callCount calls that the clients made, retries included
 * @param engineRequests requests for prefill and decode that reached the engines
 * @param seconds duration of the run
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
