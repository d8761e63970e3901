package lemondock.gateway.core;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.answer.ToolCall;

/** Receives the answer of a call; implemented by a front end, with one instance per call. */
public interface CallSink {
  /** Notifies that the call was accepted; the first method to be called. */
  void accepted(ClientCall call);

  /**
   * Delivers a piece of the answer.
   *
   * @param piece valid only until this method returns
   * @param tokens tokens of the answer so far, including the piece
   */
  void deliver(CharSequence piece, int tokens);

  /** The I/O shard of the client's connection. */
  int clientShard();

  /**
   * The lock that guards the call's answer and its output to the client. The loop thread holds it
   * for every decision, an I/O thread while it writes plain text of a running stream. It is never
   * held during a blocking operation.
   */
  Object outputLock();

  /**
   * Whether an I/O thread may write plain text to the client now; called with {@link #outputLock}
   * held.
   */
  boolean acceptsDirectOutput();

  /**
   * Asks the client to run a tool; the result is passed to {@link ClientCall#receiveToolResult}.
   */
  void relay(ToolCall toolCall);

  /** Notifies that the result of a relayed tool call is no longer needed. */
  void withdraw(ToolCall toolCall, String reason);

  /**
   * Reports the end of the answer; the last method to be called. Not called if the front end has
   * cancelled the call.
   */
  void ended(AnswerOutcome outcome);
}
