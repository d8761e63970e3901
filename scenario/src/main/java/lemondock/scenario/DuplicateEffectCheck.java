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
   * A call that may run once does so once over all attempts of its client, kills of its gateway
   * among them. Attempts at other gateways count too: a client makes them only where it was told
   * that nothing ran.
   */
  private static void checkClientRetries(AuditedRun run, Consumer<String> violations) {
    Map<String, String> ranByCall = new HashMap<>();
    for (CallRecord call : run.calls()) {
      if (run.requestClass(call).repeat() == Idempotency.NON_IDEMPOTENT
          && run.attempts(call.mark).stream().anyMatch(EngineAttempt::mayHaveRun)) {
        String earlier = ranByCall.put(call.markOfFirstAttempt(), call.mark);
        if (earlier != null) {
          violations.accept(
              call.mark
                  + " may run only once and was sent to a writer, as "
                  + earlier
                  + " had been");
        }
      }
    }
  }

  /** A request has one attempt at a time; an aborted one may be seen to end a little later. */
  private static void checkOverlaps(AuditedRun run, CallRecord call, Consumer<String> violations) {
    List<EngineAttempt> attempts = run.attempts(call.mark);
    for (int i = 0; i < attempts.size(); i++) {
      for (int j = i + 1; j < attempts.size(); j++) {
        EngineAttempt first = attempts.get(i);
        EngineAttempt second = attempts.get(j);
        if (overlapMicros(first, second) > AuditedRun.TOLERANCE_MICROS) {
          violations.accept(
              call.mark
                  + " was out at "
                  + first.server()
                  + " and "
                  + second.server()
                  + " at a time");
          return;
        }
      }
    }
  }

  private static long overlapMicros(EngineAttempt first, EngineAttempt second) {
    long begin = Math.max(first.startMicros(), second.startMicros());
    long end = Math.min(first.endMicros(), second.endMicros());
    return end - begin;
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
          call.mark + " may have run, and its client was told that trying again is harmless");
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

  /** A repeat under a key stays among the servers that deduplicate it, within their window. */
  private static void checkDeduplicated(
      AuditedRun run,
      CallRecord call,
      EngineAttempt first,
      EngineAttempt repeat,
      Consumer<String> violations) {
    GatewaySettings.ClassSettings requestClass = run.requestClass(call);
    EngineSettings firstEngine = run.engine(first.server());
    EngineSettings repeatEngine = run.engine(repeat.server());
    boolean inGroup = inSameGroup(requestClass.group(), firstEngine, repeatEngine);
    long afterMicros = repeat.startMicros() - first.startMicros();
    long windowMicros =
        GatewaySettings.micros(requestClass.repeatWindowMs()) + AuditedRun.TOLERANCE_MICROS;
    if (!inGroup || afterMicros > windowMicros) {
      String excess =
          inGroup
              ? ", " + afterMicros / AuditedRun.MICROS_PER_MILLI + " ms later"
              : ", outside its group";
      violations.accept(
          call.mark
              + " was repeated at "
              + repeatEngine.name()
              + " after "
              + firstEngine.name()
              + excess);
    }
  }

  private static boolean inSameGroup(
      DeduplicationScope group, EngineSettings first, EngineSettings second) {
    boolean sameZone = first.zone().equals(second.zone());
    return switch (group) {
      case ZONE -> sameZone;
      case CELL -> sameZone && first.rack().equals(second.rack());
      case ALL -> true;
    };
  }
}
