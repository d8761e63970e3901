package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the five rules from what passed on the sockets: what engines and the catalogue were sent
 * and answered, and what clients received. It asks no gateway. No I/O, no clock.
 *
 * <p>What a socket shows comes a little later than what a gateway did, so each limit has a
 * tolerance on top. Limits of time do not run while a gateway is paused, and for a moment after;
 * what may not happen twice, or too late for a deduplication window, gets no such allowance.
 */
public final class ScenarioAuditor {
  private static final int MAX_VIOLATIONS_PER_RULE = 20;
  private static final List<RuleCheck> CHECKS =
      List.of(
          new FinalAnswerCheck(),
          new DuplicateEffectCheck(),
          new DrainCheck(),
          new ColdStartCheck(),
          new StateReleaseCheck());

  private ScenarioAuditor() {}

  /** Checks all rules. */
  public static AuditResult check(ScenarioRecording recording) {
    AuditedRun run = new AuditedRun(recording);
    Map<Integer, List<String>> violations = new TreeMap<>();
    for (RuleCheck check : CHECKS) {
      List<String> found = new ArrayList<>();
      check.check(
          run,
          violation -> {
            if (found.size() < MAX_VIOLATIONS_PER_RULE) {
              found.add(violation);
            }
          });
      violations.put(check.rule(), found);
    }
    return new AuditResult(violations);
  }
}
