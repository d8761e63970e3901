package lemondock.policy;

import java.util.List;

/**
 * Events, in the order they happened; {@code now} never goes back. Each may lead to calls on {@link
 * Host}.
 */
public interface RequestRouter {
  /** The first call, made once. */
  void started(long now);

  /** News of the servers. CHANGES apply to the list held; FAILED leaves it as it is. */
  void servers(long now, EndpointListKind kind, List<ServerEntry> entries);

  /** A client's request; the module owes exactly one final answer from here on. */
  void request(long now, RoutingRequest request);

  /** The answer of this attempt has begun to stream; the attempt now belongs to the client. */
  void firstToken(long now, long requestId, int attempt, long serverId, long took);

  /** An attempt has ended; exactly one for each {@link RouterHost#send}. */
  void outcome(long now, AttemptResult outcome);

  /** The client has left; nothing more is owed. */
  void clientLeft(long now, long requestId);

  /** A timer set by {@link RouterHost#timer} is due. */
  void timer(long now, long token);

  /** This gateway shuts down and may be killed at {@code until}; what is under way goes on. */
  default void shuttingDown(long now, long until) {}

  /**
   * Tells what the module sees at this moment, for reports; leads to no action and changes nothing.
   */
  default void look(long now, RouterStateVisitor sight) {}
}
