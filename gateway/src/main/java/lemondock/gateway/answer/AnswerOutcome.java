package lemondock.gateway.answer;

/**
 * The outcome of an answer.
 *
 * @param totals what was delivered; empty text and all counts 0 if the answer was rejected
 * @param finishReason the engine's finish reason; empty unless served
 * @param retryAfterMicros advised delay before a retry if the answer was rejected; 0 for no advice
 * @param message the message for the client; empty if served
 */
public record AnswerOutcome(
    Kind kind, Totals totals, String finishReason, long retryAfterMicros, String message) {
  private static final Totals NOTHING = new Totals("", 0, 0, 0);

  /** The ways in which an answer can end; the metrics have a field for each, in this order. */
  public enum Kind {
    /** The answer is complete. */
    SERVED,
    /** The answer was not begun; a retry is safe. */
    REJECTED,
    /** The answer is incomplete and may have had effects. */
    FAILED,
    /** The answer was cancelled by its client or by the gateway, such as at shutdown. */
    CANCELLED
  }

  /**
   * The delivered part of an answer.
   *
   * @param text the text over all turns
   * @param tokens tokens over all turns
   * @param turns turns that ended in tool calls
   * @param toolCalls tool calls that were relayed
   */
  public record Totals(String text, int tokens, int turns, int toolCalls) {}

  /** Creates the outcome of a complete answer. */
  static AnswerOutcome served(Totals totals, String finishReason) {
    return new AnswerOutcome(Kind.SERVED, totals, finishReason, 0, "");
  }

  /** Creates the outcome of an answer that was not begun. */
  static AnswerOutcome rejected(long retryAfterMicros, String message) {
    return new AnswerOutcome(Kind.REJECTED, NOTHING, "", retryAfterMicros, message);
  }

  /** Creates the outcome of an answer that failed. */
  static AnswerOutcome failed(Totals totals, String message) {
    return new AnswerOutcome(Kind.FAILED, totals, "", 0, message);
  }

  /** Creates the outcome of a cancelled answer. */
  static AnswerOutcome cancelled(Totals totals, String reason) {
    return new AnswerOutcome(Kind.CANCELLED, totals, "", 0, reason);
  }

  /** Whether the answer had no effect, so that a retry is safe even for non-idempotent calls. */
  public boolean isRetryable() {
    return kind == Kind.REJECTED;
  }
}
