package lemondock.scenario;

import java.util.function.Consumer;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Rule 1: each accepted request gets exactly one final answer, in time, and nothing after it. The
 * streamed text must also equal that answer, with no token missing or repeated.
 */
final class FinalAnswerCheck implements RuleCheck {
  /** Below the mean of any tokenizer, which makes the token estimate and the deadline generous. */
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
              + (call.connectionLostAtMicros != 0
                  ? ", its connection was lost or its stream ended"
                  : ""));
    }
    checkTime(run, call, violations);
  }

  private static boolean wasKilledDuring(AuditedRun run, CallRecord call) {
    long lastMicros = run.endMicros();
    if (call.cancelledAtMicros != 0) {
      lastMicros = call.cancelledAtMicros;
    } else if (call.answeredAtMicros != 0) {
      lastMicros = call.answeredAtMicros;
    }
    return run.wasKilledWithin(
        call.gateway, call.calledAtMicros, lastMicros + AuditedRun.TOLERANCE_MICROS);
  }

  private static void checkTime(AuditedRun run, CallRecord call, Consumer<String> violations) {
    long firstMicros =
        call.firstMessageAtMicros != 0 ? call.firstMessageAtMicros : call.answeredAtMicros;
    if (firstMicros == 0) {
      return;
    }
    int promptTokens = (int) (call.promptChars / CHARS_PER_TOKEN);
    long limitMicros =
        run.requestClass(call).deadlineMicros(promptTokens)
            + GatewaySettings.micros(run.rules().answerSlackMs());
    long waitMicros = firstMicros - call.calledAtMicros;
    long pausedMicros = run.pausedMicrosWithin(call.gateway, call.calledAtMicros, firstMicros);
    if (waitMicros - pausedMicros > limitMicros + AuditedRun.TOLERANCE_MICROS) {
      violations.accept(
          call.mark
              + " got its first message after "
              + waitMicros / AuditedRun.MICROS_PER_MILLI
              + " ms, its limit is "
              + limitMicros / AuditedRun.MICROS_PER_MILLI
              + " ms");
    }
  }

  private static void checkStream(CallRecord call, Consumer<String> violations) {
    if (call.served() && !call.finalText.contentEquals(call.streamed)) {
      violations.accept(call.mark + ": the streamed text differs from the final text");
    }
    if (checkTokens(call, violations) && !call.protocolViolations.isEmpty()) {
      violations.accept(call.mark + ": " + call.protocolViolations);
    }
  }

  /**
   * Whether the tokens of the emulated engines are complete and in order; reports the first token
   * that is out of order. A token is a letter for the turn and a number that counts from 0. Text in
   * brackets is the result of a tool and is ignored.
   */
  private static boolean checkTokens(CallRecord call, Consumer<String> violations) {
    String text = call.finalText.replaceAll("\\[[^\\]]*\\]", " ").trim();
    int expectedNumber = 0;
    char turn = 'a';
    for (String token : text.split("\\s+")) {
      if (!token.matches("[a-z][0-9]+")) {
        continue;
      }
      if (token.charAt(0) != turn) {
        turn = token.charAt(0);
        expectedNumber = 0;
      }
      if (Integer.parseInt(token.substring(1)) != expectedNumber) {
        violations.accept(
            call.mark + ": found token " + token + ", expected " + turn + expectedNumber);
        return false;
      }
      expectedNumber++;
    }
    return true;
  }
}
