package lemondock.policy;

import java.util.List;

/**
 * Events, in the order they happened; {@code now} never goes back. Each may lead to calls on {@link
 * Host}.
 */
public interface RequestRouter {
  /** The first call, made once. */
  void started(long nowMicros);

  /** News of the servers. CHANGES apply to the list held; FAILED leaves it as it is. */
  void endpointsChanged(long nowMicros, EndpointListKind kind, List<ServerEntry> entries);

  /** A client's request; the module owes exactly one final answer from here on. */
  void requestArrived(long nowMicros, RoutingRequest request);

  /** The answer of this attempt has begun to stream; the attempt now belongs to the client. */
  void firstToken(
      long nowMicros,
      long requestId,
      int attemptNumber,
      long serverId,
      long timeToFirstTokenMicros);

  /** An attempt has ended; exactly one for each {@link RouterHost#send}. */
  void attemptEnded(long nowMicros, AttemptResult result);

  /** The client has left; nothing more is owed. */
  void clientDisconnected(long nowMicros, long requestId);

  /** A timer set by {@link RouterHost#setTimer} is due. */
  void timerFired(long nowMicros, long token);

  /** This gateway shuts down and may be killed at {@code until}; what is under way goes on. */
  default void shutdownStarted(long nowMicros, long killedAtMicros) {}

  /**
   * Tells what the module sees at this moment, for reports; leads to no action and changes nothing.
   */
  default void visitState(long nowMicros, RouterStateVisitor visitor) {}
}
