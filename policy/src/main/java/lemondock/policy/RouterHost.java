package lemondock.policy;

/**
 * Actions of the router, carried out in the order of the calls, at the time of the event that led
 * to them and on its thread.
 */
public interface RouterHost {
  /** Sends the next attempt, counted from 0, to a server. Timeout 0: until the client gives up. */
  void send(long requestId, long serverId, long timeoutMicros);

  /** Final answer: rejected, trying again is harmless. 0: without Retry-After. */
  void reject(long requestId, long retryAfterMicros);

  /** Final answer: failed, it may have had an effect. */
  void fail(long requestId);

  /** Stops waiting for an attempt; its outcome still comes. */
  void cancel(long requestId, int attempt);

  /** Releases every state reserved for the request; allowed after its end. */
  void releaseState(long requestId);

  /**
   * Asks for a {@link RequestRouter#timerFired} event after the delay, never within the same event.
   */
  void setTimer(long token, long delayMicros);

  /** Asks for the endpoint list and its changes, where they come only on demand. */
  void watchEndpoints();

  /** One line for the operators. */
  void log(String line);

  /**
   * Why the router did what it did with a request, for whoever traces that request; never built per
   * request.
   */
  default void trace(long requestId, DecisionReason reason) {}
}
