package lemondock.policy;

/**
 * Carries out the actions of the router, in the order of the calls. The router calls it on the
 * thread of the event that caused the action, before the event's method returns.
 */
public interface RouterHost {
  /** Time limit of an attempt that may be sent at any time. */
  long NO_SEND_LIMIT = Long.MAX_VALUE;

  /**
   * Sends the next attempt of a request to a server; the first attempt of a request has index 0.
   *
   * @param timeoutMicros time that the attempt may take; 0 if it may last until the client gives up
   * @param latestSendMicros time, on the clock of the router's events, after which the last byte of
   *     the attempt must not be sent; it then ends with {@link
   *     AttemptOutcome#ABANDONED_BEFORE_SEND}. The event that causes this call may be handled long
   *     before the bytes can be written
   */
  void send(long requestId, long serverId, long timeoutMicros, long latestSendMicros);

  /**
   * Gives the final answer: rejected, a retry is harmless. A {@code retryAfterMicros} of 0 means
   * that the answer carries no Retry-After.
   */
  void reject(long requestId, long retryAfterMicros);

  /** Gives the final answer: failed, the request may have had an effect. */
  void fail(long requestId);

  /** Cancels an attempt; {@link RequestRouter#attemptEnded} still follows for it. */
  void cancel(long requestId, int attempt);

  /**
   * Ends the stream of a request, without its last chunk, if its silence exceeds the limit; {@link
   * RequestRouter#attemptEnded} follows then. A stream that is not read at the moment is not
   * silent. Hosts without streams of their own need not do anything.
   */
  default void endSilentStream(long requestId, SilenceLimit limit) {}

  /** Releases all states that readers hold for the request; allowed after its end, too. */
  void releaseState(long requestId);

  /**
   * Schedules a {@link RequestRouter#timerFired} event after the delay, never within the current
   * event.
   */
  void setTimer(long token, long delayMicros);

  /** Asks for the endpoint list and its changes, if they are sent only on request. */
  void watchEndpoints();

  /** Logs one line for the operators. */
  void log(String line);

  /**
   * Reports why the router decided as it did about a request, for tracing. The reason is a
   * constant, so that the call allocates nothing per request.
   */
  default void trace(long requestId, DecisionReason reason) {}
}
