package lemondock.scenario;

import java.util.function.Consumer;

/** Checks one of the five rules against a recording. Performs no I/O and reads no clock. */
interface RuleCheck {
  /** The rule's number, 1 to 5. */
  int rule();

  /** Passes a description of each violation found to {@code violations}. */
  void check(AuditedRun run, Consumer<String> violations);
}
