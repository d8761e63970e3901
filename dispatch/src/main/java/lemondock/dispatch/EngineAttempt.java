package lemondock.dispatch;

import java.util.Optional;
import lemondock.net.Loop;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.ServerRole;

/**
 * One attempt at a request: what was sent to which server, and how far it has come. Hands what the
 * engine answers to the {@link AttemptLifecycle}. Loop thread only.
 */
final class EngineAttempt<P, S, C extends StreamChunk> implements AttemptListener<S, C> {
  /** Where an attempt goes. */
  record Target(Endpoint endpoint, ServerRole role) {}

  final InFlightRequest<P, S, C> request;
  final int number;
  final long serverId;

  /** Empty if the router named a server that was never listed. */
  final Optional<Target> target;

  /** The id that the engine sees. */
  final String id;

  final long sentAtMicros;

  /** How long this process had stalled by then, in all. */
  final long stalledMicrosBefore;

  /** Null until the attempt is sent. */
  AttemptHandle handle;

  /** The state that it decodes from; null if none. */
  ReservedState<S> state;

  Loop.Timer timeout = () -> {};

  /** Whether the router has cancelled it. */
  boolean cancelled;

  boolean ended;
  int cachedTokens;

  private final AttemptLifecycle<P, S, C> lifecycle;
  private boolean directOutputSet;

  EngineAttempt(
      AttemptLifecycle<P, S, C> lifecycle,
      InFlightRequest<P, S, C> request,
      long serverId,
      Optional<Target> target,
      AttemptOrigin origin) {
    this.lifecycle = lifecycle;
    this.request = request;
    this.number = request.attempts.size();
    this.serverId = serverId;
    this.target = target;
    this.id = origin.idPrefix() + "-" + request.id + "-" + number;
    this.sentAtMicros = origin.sentAtMicros();
    this.stalledMicrosBefore = origin.stalledMicrosBefore();
  }

  /** What an attempt's id begins with, and when it was sent. */
  record AttemptOrigin(String idPrefix, long sentAtMicros, long stalledMicrosBefore) {}

  /** The server of an attempt that was sent to one. */
  Endpoint endpoint() {
    return target.orElseThrow().endpoint();
  }

  boolean isPrefill() {
    return target.filter(t -> t.role() == ServerRole.READER).isPresent();
  }

  boolean isStreaming() {
    return request.streamingAttempt == this;
  }

  @Override
  public void prefillCompleted(S newState, int cachedTokens) {
    lifecycle.prefillCompleted(this, newState, cachedTokens);
  }

  @Override
  public void chunkReceived(C chunk) {
    cachedTokens = Math.max(cachedTokens, chunk.cachedTokens());
    if (request.streamingAttempt == null && chunk.hasOutput()) {
      lifecycle.firstTokenReceived(this);
    }
    if (isStreaming() && !request.ended) {
      request.listener.chunk(chunk);
      if (!directOutputSet && !request.ended && handle != null) {
        directOutputSet = true;
        request.listener.directOutput().ifPresent(handle::setDirectOutput);
      }
    }
  }

  @Override
  public void attemptEnded(AttemptOutcome outcome, boolean stateMissing, String cause) {
    if (!cancelled) {
      lifecycle.end(this, new AttemptEnd(outcome, cachedTokens, stateMissing, cause));
    }
  }
}
