package lemondock.policy;

/** Actions, carried out in the order of the calls, at the time of the event that led to them. */
public interface RouterHost {
  /** Sends the request to a server; attempts count from 0. timeout 0: until the client gives up. */
  void send(long requestId, long serverId, long timeoutMicros);

  /** Final answer: trying again is harmless. retryAfter 0: no advice. */
  void reject(long requestId, long retryAfterMicros);

  /** Final answer that promises nothing. */
  void fail(long requestId);

  /** Stops waiting for an attempt; its outcome still comes. */
  void cancel(long requestId, int attempt);

  /** Lets go of every state held for the request; allowed after its end. */
  void releaseState(long requestId);

  /**
   * Asks for a {@link RequestRouter#timerFired} event after the delay, never within the same event.
   */
  void setTimer(long token, long delayMicros);

  /** Asks for the list of servers and its changes, where they come only on demand. */
  void watchEndpoints();

  /** One line for the operators. */
  void log(String line);

  /**
   * Why the module did what it did with a request, for whoever traces that request; never built per
   * request.
   */
  default void trace(long requestId, DecisionReason reason) {}
}
