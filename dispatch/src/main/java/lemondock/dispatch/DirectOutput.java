package lemondock.dispatch;

/** Takes plain text of a running output stream on the I/O thread, without a turn of the loop. */
public interface DirectOutput {
  /**
   * Offers a piece of text on an I/O thread; the text is valid until this returns. False if it
   * cannot be taken now; the caller then delivers the piece as an event on the loop.
   *
   * @param answerTokens tokens of the request's answer so far, -1 if unknown
   */
  boolean offer(CharSequence text, int answerTokens);
}
