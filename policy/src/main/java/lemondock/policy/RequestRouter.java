package lemondock.policy;

import java.util.List;

/**
 * Events of one gateway, in the order they happened, all on one thread. {@code nowMicros} never
 * goes back. Each event may lead to calls on the {@link RouterHost} before it returns.
 */
public interface RequestRouter {
  /** The first call, made once. */
  void started(long nowMicros);

  /** The endpoint list, or changes of it; FAILED leaves the list as it is. */
  void endpointsChanged(long nowMicros, EndpointListKind kind, List<ServerEntry> entries);

  /** A client's request; exactly one final answer is owed from here on. */
  void requestArrived(long nowMicros, RoutingRequest request);

  /** The answer of this attempt has begun to stream to the client, who gets no other. */
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

  /** Graceful shutdown: what is in flight goes on, the process may be killed at that time. */
  default void shutdownStarted(long nowMicros, long killedAtMicros) {}

  /** Shows the state at this moment, for load reports; leads to no action. */
  default void visitState(long nowMicros, RouterStateVisitor visitor) {}
}
