package lemondock.gateway.core;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.answer.ToolCall;

/** Where a call's answer goes: a front end implements it for each call of its clients. */
public interface CallSink {
  /** The call was accepted; comes before all else. */
  void accepted(ClientCall call);

  /** A piece of the answer, valid until this returns; {@code tokens} counts all so far. */
  void deliver(CharSequence piece, int tokens);

  /** The I/O shard of the client's connection. */
  int clientShard();

  /**
   * The lock of the call's answer and of what the client is sent of it. Held by the loop for all
   * that decides, and by an I/O thread for plain pieces of a running stream; never held while
   * waiting for anything.
   */
  Object outputLock();

  /**
   * Whether a plain piece may be written to the client from an I/O thread now; asked with the lock
   * held.
   */
  boolean acceptsDirectOutput();

  /** Asks the client to run a tool; its result comes back by {@link ClientCall#toolResult}. */
  void relay(ToolCall toolCall);

  /** The result of a relayed tool call is not needed any more. */
  void withdraw(ToolCall toolCall, String reason);

  /** The one end; nothing follows. Not called for a call that its front end has cancelled. */
  void ended(AnswerOutcome outcome);
}
