package lemondock.gateway.answer;

/**
 * The text and the token count of an answer over all requests. Guarded by the answer's lock. {@link
 * #append} is called for each token, so it allocates nothing except when its buffers grow.
 */
final class AnswerText {
  private final StringBuilder text = new StringBuilder();
  private final StringBuilder turnText = new StringBuilder();
  private int tokens;
  private int requestTokens;
  private int tokensBeforeRequest;

  /**
   * Appends a piece of text of the current request.
   *
   * @param completionTokens tokens of the request so far; -1 if the engine does not report them, in
   *     which case the piece counts as one token
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

  /** Starts a new turn with a new request. */
  void startTurn() {
    turnText.setLength(0);
    startRequest();
  }

  /** Starts a new request that continues the current turn. */
  void startRequest() {
    requestTokens = 0;
    tokensBeforeRequest = tokens;
  }
}
