package lemondock.scenario;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the auditor found.
 *
 * @param violations descriptions by number of the rule; an empty list for a rule that was kept
 */
public record AuditResult(Map<Integer, List<String>> violations) {
  /** Whether no rule was violated. */
  public boolean allRulesKept() {
    return violations.values().stream().allMatch(List::isEmpty);
  }

  /** Numbers of the rules that were violated. */
  public Set<Integer> violatedRules() {
    return violations.entrySet().stream()
        .filter(entry -> !entry.getValue().isEmpty())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }
}
