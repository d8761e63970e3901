package lemondock.gateway.answer;

import java.util.List;

/** What an {@link Answer} asks for; called with its lock held. */
public interface AnswerActions {
  /**
   * Starts a request to the engines.
   *
   * @param turns the turns behind the client's prompt
   * @param partial what was delivered of the current turn and is to be continued; may be empty
   * @param maxTokens tokens that the request may still give
   * @param resumed whether it takes the place of a request that broke
   */
  void startRequest(List<AnswerTurn> turns, String partial, int maxTokens, boolean resumed);

  /**
   * Delivers a piece of text; called for each token, on the loop or on an I/O thread.
   *
   * @param piece valid until this returns
   * @param tokens tokens of the answer so far
   */
  void deliver(CharSequence piece, int tokens);

  /** Relays a tool call to the client. */
  void relay(ToolCall toolCall);

  /** Tells the client that the result of a relayed tool call is not needed any more. */
  void withdraw(ToolCall toolCall, String reason);

  /** Cancels the request in flight, if there is one. */
  void cancelRequest();

  /** The one end; nothing follows. */
  void ended(AnswerOutcome outcome);
}
