package lemondock.gateway.answer;

import java.util.List;

/** Carries out the decisions of an {@link Answer}. Called with the answer's lock held. */
public interface AnswerActions {
  /**
   * Starts a request to the engines.
   *
   * @param turns the completed turns, which follow the client's prompt
   * @param partial delivered text of the current turn that the engine must continue; may be empty
   * @param maxTokens upper bound of the tokens that the request may generate
   * @param isResumed whether the request replaces one that was interrupted
   */
  void startRequest(List<AnswerTurn> turns, String partial, int maxTokens, boolean isResumed);

  /**
   * Delivers a piece of text; called for each token, on the loop thread or on an I/O thread.
   *
   * @param piece valid only until this method returns
   * @param tokens tokens of the answer so far, including the piece
   */
  void deliver(CharSequence piece, int tokens);

  /** Relays a tool call to the client. */
  void relay(ToolCall toolCall);

  /** Tells the client that the result of a relayed tool call is no longer needed. */
  void withdraw(ToolCall toolCall, String reason);

  /** Cancels the request in flight, if there is one. */
  void cancelRequest();

  /** Reports the end of the answer; called exactly once, as the last call. */
  void ended(AnswerOutcome outcome);
}
