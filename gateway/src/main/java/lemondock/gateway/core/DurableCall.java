package lemondock.gateway.core;

import java.util.function.Consumer;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.idempotency.CallStatus;

/** A call that must not run twice, under its idempotency key. Loop thread only. */
record DurableCall(IdempotencyGuard guard, String key) {
  /** The call starts; the callback hears whether that is durable. */
  void started(Consumer<Boolean> whenDurable) {
    guard.callStarted(key, whenDurable);
  }

  /** A tool call is to be relayed; the callback hears whether that is durable. */
  void toolCallRelayed(String id, String tool, Consumer<Boolean> whenDurable) {
    guard.toolCallRelayed(key, id, tool, whenDurable);
  }

  /** The result of a relayed tool call has come. */
  void toolCallAnswered(String id) {
    guard.toolCallAnswered(key, id);
  }

  /** The call has ended; {@code begun}: whether a request of it was sent to the engines. */
  void ended(AnswerOutcome.Kind outcome, boolean begun) {
    guard.callEnded(key, statusAfter(outcome, begun));
  }

  private static CallStatus statusAfter(AnswerOutcome.Kind outcome, boolean begun) {
    if (outcome == AnswerOutcome.Kind.SERVED) {
      return CallStatus.COMPLETED;
    }
    return outcome == AnswerOutcome.Kind.REJECTED || !begun
        ? CallStatus.NEVER_RAN
        : CallStatus.MAY_HAVE_RUN;
  }
}
