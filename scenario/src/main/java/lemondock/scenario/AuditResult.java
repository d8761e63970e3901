package lemondock.scenario;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The result of an audit.
 *
 * @param violations descriptions of violations by rule number; an empty list if the rule was kept
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
