package lemondock.scenario;

import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Rule 1: each accepted request gets exactly one final answer, in time, and nothing after it. Part
 * of the same promise is that the stream is the answer, without a token twice or missing.
 */
final class FinalAnswerCheck implements RuleCheck {
  /** Fewer than any tokenizer's mean: errs towards more patience. */
  private static final double CHARS_PER_TOKEN = 3;

  @Override
  public int rule() {
    return 1;
  }

  @Override
  public void check(AuditedRun run, Consumer<String> violations) {
    run.calls().forEach(call -> checkAnswer(run, call, violations));
    run.calls().forEach(call -> checkStream(call, violations));
  }

  private static void checkAnswer(AuditedRun run, CallRecord call, Consumer<String> violations) {
    if (call.notAccepted || wasKilledDuring(run, call)) {
      return;
    }
    if (call.responses > 1) {
      violations.accept(call.mark + " got " + call.responses + " responses");
    }
    if (call.messagesAfterAnswer > 0) {
      violations.accept(
          call.mark + " got " + call.messagesAfterAnswer + " messages after its final answer");
    }
    if (call.cancelledAtMicros != 0) {
      return;
    }
    if (call.responses == 0) {
      violations.accept(
          call.mark
              + " got no final answer"
              + (call.connectionLostAtMicros != 0 ? ", its stream just ended" : ""));
    }
    checkTime(run, call, violations);
  }

  private static boolean wasKilledDuring(AuditedRun run, CallRecord call) {
    long last = run.endMicros();
    if (call.cancelledAtMicros != 0) {
      last = call.cancelledAtMicros;
    } else if (call.answeredAtMicros != 0) {
      last = call.answeredAtMicros;
    }
    return run.wasKilledWithin(
        call.gateway, call.calledAtMicros, last + AuditedRun.TOLERANCE_MICROS);
  }

  private static void checkTime(AuditedRun run, CallRecord call, Consumer<String> violations) {
    long first = call.firstMessageAtMicros != 0 ? call.firstMessageAtMicros : call.answeredAtMicros;
    if (first == 0) {
      return;
    }
    int tokens = (int) (call.promptChars / CHARS_PER_TOKEN);
    long limitMicros =
        run.requestClass(call).deadlineMicros(tokens)
            + GatewaySettings.micros(run.rules().answerSlackMs());
    long waitMicros = first - call.calledAtMicros;
    long pausedMicros = run.pausedMicrosWithin(call.gateway, call.calledAtMicros, first);
    if (waitMicros - pausedMicros > limitMicros + AuditedRun.TOLERANCE_MICROS) {
      violations.accept(
          call.mark
              + " heard first after "
              + waitMicros / AuditedRun.MICROS_PER_MILLI
              + " ms of "
              + limitMicros / AuditedRun.MICROS_PER_MILLI);
    }
  }

  private static void checkStream(CallRecord call, Consumer<String> violations) {
    if (call.served() && !call.finalText.contentEquals(call.streamed)) {
      violations.accept(call.mark + ": the stream differs from the final text");
    }
    if (checkTokens(call, violations) && !call.protocolViolations.isEmpty()) {
      violations.accept(call.mark + ": " + call.protocolViolations);
    }
  }

  /**
   * Whether the emulated engines' words, a letter for the turn and a number, are all there. What
   * stands in brackets are results of tools.
   */
  private static boolean checkTokens(CallRecord call, Consumer<String> violations) {
    String text = call.finalText.replaceAll("\\[[^\\]]*\\]", " ").trim();
    int next = 0;
    char turn = 'a';
    for (String word : text.split("\\s+")) {
      if (!word.matches("[a-z][0-9]+")) {
        continue;
      }
      if (word.charAt(0) != turn) {
        turn = word.charAt(0);
        next = 0;
      }
      if (Integer.parseInt(word.substring(1)) != next) {
        violations.accept(call.mark + ": token " + word + " where " + turn + next + " was due");
        return false;
      }
      next++;
    }
    return true;
  }
}
