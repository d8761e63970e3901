package lemondock.gateway.answer;

/**
 * How an answer has ended.
 *
 * @param totals what was delivered; all 0 if it was rejected
 * @param finishReason the engine's word for why it stopped, empty unless served
 * @param retryAfterMicros when the client may retry if it was rejected, 0 if that is not known
 * @param message what the client is told, empty if served
 */
public record AnswerOutcome(
    Kind kind, Totals totals, String finishReason, long retryAfterMicros, String message) {
  private static final Totals NOTHING = new Totals("", 0, 0, 0);

  /** How an answer can end; the metrics have a field for each, in this order. */
  public enum Kind {
    /** It is complete. */
    SERVED,
    /** Nothing of it was begun: retrying is harmless. */
    REJECTED,
    /** It broke off; it may have had effects. */
    FAILED,
    /** Its client, or the gateway's shutdown, cancelled it. */
    CANCELLED
  }

  /**
   * What was delivered of an answer.
   *
   * @param text its text over all turns
   * @param tokens tokens over all turns
   * @param turns turns that ended in tool calls
   * @param toolCalls tool calls that were relayed
   */
  public record Totals(String text, int tokens, int turns, int toolCalls) {}

  /** A complete answer. */
  static AnswerOutcome served(Totals totals, String finishReason) {
    return new AnswerOutcome(Kind.SERVED, totals, finishReason, 0, "");
  }

  /** An answer that was not begun. */
  static AnswerOutcome rejected(long retryAfterMicros, String message) {
    return new AnswerOutcome(Kind.REJECTED, NOTHING, "", retryAfterMicros, message);
  }

  /** An answer that broke off. */
  static AnswerOutcome failed(Totals totals, String message) {
    return new AnswerOutcome(Kind.FAILED, totals, "", 0, message);
  }

  /** An answer that is not wanted any more. */
  static AnswerOutcome cancelled(Totals totals, String reason) {
    return new AnswerOutcome(Kind.CANCELLED, totals, "", 0, reason);
  }

  /** Whether nothing of it had an effect, so that a retry is harmless whatever the call does. */
  public boolean retryable() {
    return kind == Kind.REJECTED;
  }
}
