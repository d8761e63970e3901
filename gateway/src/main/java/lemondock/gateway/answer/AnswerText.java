package lemondock.gateway.answer;

/**
 * The text of an answer and its tokens, over all requests. Guarded by the answer's lock. {@link
 * #append} is called for each token, so it allocates nothing but the buffers' growth.
 */
final class AnswerText {
  private final StringBuilder text = new StringBuilder();
  private final StringBuilder turnText = new StringBuilder();
  private int tokens;
  private int requestTokens;
  private int tokensBeforeRequest;

  /**
   * Takes a piece of the current request.
   *
   * @param completionTokens tokens of the request so far, -1 if the engine does not say: then the
   *     piece counts as one
   */
  void append(CharSequence piece, int completionTokens) {
    requestTokens =
        completionTokens >= 0 ? Math.max(requestTokens, completionTokens) : requestTokens + 1;
    tokens = tokensBeforeRequest + requestTokens;
    text.append(piece);
    turnText.append(piece);
  }

  /** Tokens of the answer so far. */
  int tokens() {
    return tokens;
  }

  /** The text of all turns. */
  String text() {
    return text.toString();
  }

  /** The text of the current turn. */
  String turnText() {
    return turnText.toString();
  }

  /** A new turn begins, with a request of its own. */
  void startTurn() {
    turnText.setLength(0);
    startRequest();
  }

  /** A new request begins that continues the current turn. */
  void startRequest() {
    requestTokens = 0;
    tokensBeforeRequest = tokens;
  }
}
