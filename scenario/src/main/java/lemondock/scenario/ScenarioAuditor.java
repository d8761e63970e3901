package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the five rules against the traffic observed on the sockets: what engines and the catalogue
 * received and answered, and what clients received. It queries no gateway, performs no I/O and
 * reads no clock.
 *
 * <p>Traffic is observed a little after the gateway's action, so a tolerance is added to each time
 * limit. Time limits do not run while a gateway is paused and shortly after. A pause excuses
 * neither a duplicate effect nor a repeat after the end of its deduplication window.
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

  /** Checks all rules; keeps at most 20 violations of each. */
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
