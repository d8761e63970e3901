package lemondock.gateway.core;

import java.util.function.Consumer;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.idempotency.CallStatus;

/** A non-idempotent call that is deduplicated by its idempotency key. Loop thread only. */
record DurableCall(IdempotencyGuard guard, String key) {
  /** Records the start of the call; the callback receives whether the record is durable. */
  void started(Consumer<Boolean> onCommitResult) {
    guard.callStarted(key, onCommitResult);
  }

  /**
   * Records a tool call before it is relayed; the callback receives whether the record is durable.
   */
  void toolCallRelayed(String id, String tool, Consumer<Boolean> onCommitResult) {
    guard.toolCallRelayed(key, id, tool, onCommitResult);
  }

  /** Records that the result of a relayed tool call was received. */
  void toolCallAnswered(String id) {
    guard.toolCallAnswered(key, id);
  }

  /**
   * Records the end of the call.
   *
   * @param hasBegun whether a request of the call was sent to the engines
   */
  void ended(AnswerOutcome.Kind outcome, boolean hasBegun) {
    guard.callEnded(key, statusAfter(outcome, hasBegun));
  }

  private static CallStatus statusAfter(AnswerOutcome.Kind outcome, boolean hasBegun) {
    if (outcome == AnswerOutcome.Kind.SERVED) {
      return CallStatus.COMPLETED;
    }
    return outcome == AnswerOutcome.Kind.REJECTED || !hasBegun
        ? CallStatus.NEVER_RAN
        : CallStatus.MAY_HAVE_RUN;
  }
}
