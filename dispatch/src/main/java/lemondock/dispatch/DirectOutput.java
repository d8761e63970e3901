package lemondock.dispatch;

/** Accepts plain text of an output stream on an I/O thread, without passing it through the loop. */
public interface DirectOutput {
  /**
   * Offers a piece of text on an I/O thread; {@code text} is valid only until this method returns.
   * Returns false if the text cannot be accepted now; the caller then delivers it as an event on
   * the loop.
   *
   * @param answerTokens number of tokens of the request's answer so far, -1 if unknown
   */
  boolean offer(CharSequence text, int answerTokens);
}
