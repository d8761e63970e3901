package lemondock.policy;

import java.util.List;

/**
 * Receives the events of one gateway, in the order in which they happen, all on one thread. {@code
 * nowMicros} is the time of the event and never decreases. Each method may call the {@link
 * RouterHost} before it returns.
 */
public interface RequestRouter {
  /** The gateway has started; called once, before all other methods. */
  void started(long nowMicros);

  /**
   * The endpoint list, or changes of it, have been received; {@link EndpointListKind#FAILED} leaves
   * the known list unchanged.
   */
  void endpointsChanged(long nowMicros, EndpointListKind kind, List<ServerEntry> entries);

  /** A request of a client has arrived; the router has to give it exactly one final answer. */
  void requestArrived(long nowMicros, RoutingRequest request);

  /** The answer of this attempt has begun to stream to the client, which gets no other answer. */
  void firstToken(
      long nowMicros, long requestId, int attemptIndex, long serverId, long timeToFirstTokenMicros);

  /** An attempt has ended; called exactly once for each {@link RouterHost#send}. */
  void attemptEnded(long nowMicros, AttemptResult result);

  /** The client has disconnected; its request needs no answer any more. */
  void clientDisconnected(long nowMicros, long requestId);

  /** A timer set by {@link RouterHost#setTimer} is due. */
  void timerFired(long nowMicros, long token);

  /**
   * Graceful shutdown has begun: requests in flight go on, and the process may be killed at {@code
   * killedAtMicros}.
   */
  default void shutdownStarted(long nowMicros, long killedAtMicros) {}

  /** Shows the current state to the visitor, for load reports; causes no action of the router. */
  default void visitState(long nowMicros, RouterStateVisitor visitor) {}
}
