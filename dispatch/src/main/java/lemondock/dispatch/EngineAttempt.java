package lemondock.dispatch;

import java.util.Optional;
import lemondock.net.Loop;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.ServerRole;

/**
 * One attempt at a request: what was sent to which server, and how far it has come. Hands what the
 * engine answers to the {@link AttemptLifecycle}, which alone changes it. Loop thread only.
 */
final class EngineAttempt<P, S, C extends StreamChunk> implements AttemptListener<S, C> {
  /** Where an attempt goes. */
  record Target(Endpoint endpoint, ServerRole role) {}

  /**
   * What an attempt's id begins with, and when it was sent.
   *
   * @param stalledMicrosBefore how long this process had stalled by then, in all
   */
  record AttemptOrigin(String idPrefix, long sentAtMicros, long stalledMicrosBefore) {}

  private final AttemptLifecycle<P, S, C> lifecycle;
  private final InFlightRequest<P, S, C> request;
  private final int number;
  private final long serverId;
  private final Optional<Target> target;
  private final String id;
  private final AttemptOrigin origin;

  private Optional<AttemptHandle> handle = Optional.empty();
  private Optional<ReservedState<S>> decodedState = Optional.empty();
  private Loop.Timer timeout = () -> {};
  private boolean cancelled;
  private boolean ended;
  private int cachedTokens;
  private boolean directOutputSet;

  EngineAttempt(
      AttemptLifecycle<P, S, C> lifecycle,
      InFlightRequest<P, S, C> request,
      long serverId,
      Optional<Target> target,
      AttemptOrigin origin) {
    this.lifecycle = lifecycle;
    this.request = request;
    this.number = request.attempts().size();
    this.serverId = serverId;
    this.target = target;
    this.id = origin.idPrefix() + "-" + request.id() + "-" + number;
    this.origin = origin;
  }

  InFlightRequest<P, S, C> request() {
    return request;
  }

  /** Its number within the request, from 0. */
  int number() {
    return number;
  }

  /** The id that the engine sees. */
  String id() {
    return id;
  }

  /** The router's number of the server. */
  long serverId() {
    return serverId;
  }

  /** Where it goes; empty if the router named a server that was never listed. */
  Optional<Target> target() {
    return target;
  }

  /** The server of an attempt that was sent to one. */
  Endpoint endpoint() {
    return target.orElseThrow().endpoint();
  }

  AttemptOrigin origin() {
    return origin;
  }

  boolean isPrefill() {
    return target.filter(to -> to.role() == ServerRole.READER).isPresent();
  }

  /** Whether the client gets this attempt's output. */
  boolean isStreaming() {
    return request.isStreamedBy(this);
  }

  /** The state that it decodes from; empty if it reads the prompt itself. */
  Optional<ReservedState<S>> decodedState() {
    return decodedState;
  }

  void setDecodedState(Optional<ReservedState<S>> state) {
    decodedState = state;
  }

  /** It was sent to the engine and is controlled by that handle. */
  void sentAs(AttemptHandle sent) {
    handle = Optional.of(sent);
  }

  /** Closes its connection; false if it was never sent. */
  boolean cancelAtEngine() {
    handle.ifPresent(AttemptHandle::cancel);
    return handle.isPresent();
  }

  /** Stops reading its output. */
  void pause() {
    handle.ifPresent(AttemptHandle::pause);
  }

  /** Reads its output again. */
  void resume() {
    handle.ifPresent(AttemptHandle::resume);
  }

  void setTimeout(Loop.Timer timer) {
    timeout = timer;
  }

  /** Whether the router has cancelled it. */
  boolean isCancelled() {
    return cancelled;
  }

  void markCancelled() {
    cancelled = true;
  }

  boolean hasEnded() {
    return ended;
  }

  void markEnded() {
    ended = true;
    timeout.cancel();
  }

  @Override
  public void prefillCompleted(S state, int newCachedTokens) {
    lifecycle.prefillCompleted(this, state, newCachedTokens);
  }

  @Override
  public void chunkReceived(C chunk) {
    cachedTokens = Math.max(cachedTokens, chunk.cachedTokens());
    if (!request.hasStreamBegun() && chunk.hasOutput()) {
      lifecycle.firstTokenReceived(this);
    }
    if (isStreaming() && !request.hasEnded()) {
      request.listener().chunk(chunk);
      offerDirectOutput();
    }
  }

  /** Once, after the first chunk that the listener has taken. */
  private void offerDirectOutput() {
    if (!directOutputSet && !request.hasEnded() && handle.isPresent()) {
      directOutputSet = true;
      request.listener().directOutput().ifPresent(handle.get()::setDirectOutput);
    }
  }

  @Override
  public void attemptEnded(AttemptOutcome outcome, boolean stateMissing, String cause) {
    if (!cancelled) {
      lifecycle.end(this, new AttemptEnd(outcome, cachedTokens, stateMissing, cause));
    }
  }
}
