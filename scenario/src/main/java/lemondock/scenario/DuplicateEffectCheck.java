package lemondock.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemondock.emulator.EngineSettings;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.policy.DeduplicationScope;
import lemondock.policy.Idempotency;

/** Rule 2: no effect happens twice. */
final class DuplicateEffectCheck implements RuleCheck {
  @Override
  public int rule() {
    return 2;
  }

  @Override
  public void check(AuditedRun run, Consumer<String> violations) {
    checkClientRetries(run, violations);
    for (CallRecord call : run.calls()) {
      checkOverlaps(run, call, violations);
      checkToolCalls(call, violations);
      if (!run.requestClass(call).isIdempotent()) {
        checkNonIdempotent(run, call, violations);
      }
    }
  }

  /**
   * A call that may run only once runs at most once over all attempts of its client, even if its
   * gateway is killed in between. Attempts at other gateways count too: a client makes them only
   * after it was told that nothing ran.
   */
  private static void checkClientRetries(AuditedRun run, Consumer<String> violations) {
    Map<String, String> ranMarkByCall = new HashMap<>();
    for (CallRecord call : run.calls()) {
      if (run.requestClass(call).repeat() == Idempotency.NON_IDEMPOTENT
          && run.attempts(call.mark).stream().anyMatch(EngineAttempt::mayHaveRun)) {
        String earlierMark = ranMarkByCall.put(call.markOfFirstAttempt(), call.mark);
        if (earlierMark != null) {
          violations.accept(
              call.mark
                  + " may run only once, but was sent to a writer, and so was "
                  + earlierMark);
        }
      }
    }
  }

  /**
   * A request has one attempt at a time. The end of an aborted attempt may be observed a little
   * late, so overlaps within the tolerance are allowed.
   */
  private static void checkOverlaps(AuditedRun run, CallRecord call, Consumer<String> violations) {
    List<EngineAttempt> attempts = run.attempts(call.mark);
    for (int i = 0; i < attempts.size(); i++) {
      for (int j = i + 1; j < attempts.size(); j++) {
        EngineAttempt first = attempts.get(i);
        EngineAttempt second = attempts.get(j);
        if (overlapMicros(first, second) > AuditedRun.TOLERANCE_MICROS) {
          violations.accept(
              call.mark
                  + " had attempts in flight at "
                  + first.server()
                  + " and "
                  + second.server()
                  + " at the same time");
          return;
        }
      }
    }
  }

  private static long overlapMicros(EngineAttempt first, EngineAttempt second) {
    long beginMicros = Math.max(first.startMicros(), second.startMicros());
    long endMicros = Math.min(first.endMicros(), second.endMicros());
    return endMicros - beginMicros;
  }

  private static void checkToolCalls(CallRecord call, Consumer<String> violations) {
    if (new HashSet<>(call.toolCalls).size() < call.toolCalls.size()) {
      violations.accept(call.mark + " was sent a tool call twice: " + call.toolCalls);
    }
  }

  private static void checkNonIdempotent(
      AuditedRun run, CallRecord call, Consumer<String> violations) {
    GatewaySettings.ClassSettings requestClass = run.requestClass(call);
    Map<String, List<EngineAttempt>> attemptsByTurn = new LinkedHashMap<>();
    run.attempts(call.mark).stream()
        .filter(EngineAttempt::mayHaveRun)
        .forEach(
            attempt ->
                attemptsByTurn
                    .computeIfAbsent(attempt.turn(), turn -> new ArrayList<>())
                    .add(attempt));
    for (List<EngineAttempt> attempts : attemptsByTurn.values()) {
      checkRepeats(run, call, attempts, violations);
    }
    boolean isDeduplicatedEverywhere =
        requestClass.repeat() == Idempotency.IDEMPOTENCY_KEY
            && requestClass.group() == DeduplicationScope.ALL;
    if (call.retryable && !attemptsByTurn.isEmpty() && !isDeduplicatedEverywhere) {
      violations.accept(
          call.mark + " may have run, but its client was told that it is safe to retry");
    }
  }

  private static void checkRepeats(
      AuditedRun run, CallRecord call, List<EngineAttempt> attempts, Consumer<String> violations) {
    EngineAttempt first = attempts.get(0);
    for (EngineAttempt repeat : attempts.subList(1, attempts.size())) {
      if (run.requestClass(call).repeat() == Idempotency.NON_IDEMPOTENT) {
        violations.accept(
            call.mark
                + " may run only once and was sent to "
                + first.server()
                + " and "
                + repeat.server());
      } else {
        checkDeduplicated(run, call, first, repeat, violations);
      }
    }
  }

  /**
   * A repeat with an idempotency key goes to a server of the same deduplication scope, within the
   * deduplication window.
   */
  private static void checkDeduplicated(
      AuditedRun run,
      CallRecord call,
      EngineAttempt first,
      EngineAttempt repeat,
      Consumer<String> violations) {
    GatewaySettings.ClassSettings requestClass = run.requestClass(call);
    EngineSettings firstEngine = run.engine(first.server());
    EngineSettings repeatEngine = run.engine(repeat.server());
    boolean isInScope = isInSameScope(requestClass.group(), firstEngine, repeatEngine);
    long elapsedMicros = repeat.startMicros() - first.startMicros();
    long windowMicros =
        GatewaySettings.micros(requestClass.repeatWindowMs()) + AuditedRun.TOLERANCE_MICROS;
    if (!isInScope || elapsedMicros > windowMicros) {
      String violationDetail =
          isInScope
              ? ", " + elapsedMicros / AuditedRun.MICROS_PER_MILLI + " ms later"
              : ", outside its deduplication scope";
      violations.accept(
          call.mark
              + " was repeated at "
              + repeatEngine.name()
              + " after "
              + firstEngine.name()
              + violationDetail);
    }
  }

  private static boolean isInSameScope(
      DeduplicationScope group, EngineSettings first, EngineSettings second) {
    boolean isSameZone = first.zone().equals(second.zone());
    return switch (group) {
      case ZONE -> isSameZone;
      case CELL -> isSameZone && first.rack().equals(second.rack());
      case ALL -> true;
    };
  }
}
