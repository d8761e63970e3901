package lemondock.dispatch;

import java.util.Optional;
import lemondock.net.Loop;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.ServerRole;

/**
 * One attempt of a request: its target server and its progress. Forwards the engine's replies to
 * the {@link AttemptLifecycle}, which sends, cancels and ends the attempt. Loop thread only.
 */
final class EngineAttempt<P, S, C extends StreamChunk> implements AttemptListener<S, C> {
  /** The server to which an attempt is sent, and its role. */
  record Target(Endpoint endpoint, ServerRole role) {}

  /**
   * Prefix of an attempt's id and the time at which the attempt was sent.
   *
   * @param stalledMicrosBefore total time for which this process had been stalled by then
   */
  record AttemptOrigin(String idPrefix, long sentAtMicros, long stalledMicrosBefore) {}

  private final AttemptLifecycle<P, S, C> lifecycle;
  private final InFlightRequest<P, S, C> request;
  private final int number;
  private final long serverId;
  private final Optional<Target> target;
  private final OutgoingAttempt toSend;
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
      AttemptOrigin origin,
      long latestSendMicros) {
    this.lifecycle = lifecycle;
    this.request = request;
    this.number = request.attempts().size();
    this.serverId = serverId;
    this.target = target;
    this.toSend =
        new OutgoingAttempt(
            origin.idPrefix() + "-" + request.id() + "-" + number, latestSendMicros);
    this.origin = origin;
  }

  InFlightRequest<P, S, C> request() {
    return request;
  }

  /** Number of the attempt within its request, from 0. */
  int number() {
    return number;
  }

  /** The id that is sent to the engine. */
  String id() {
    return toSend.id();
  }

  /** What the engine port needs to know to send the attempt. */
  OutgoingAttempt toSend() {
    return toSend;
  }

  /** The router's id of the server. */
  long serverId() {
    return serverId;
  }

  /** The target; empty if the router chose a server that was never listed. */
  Optional<Target> target() {
    return target;
  }

  /**
   * The target server.
   *
   * @throws java.util.NoSuchElementException if there is no target
   */
  Endpoint endpoint() {
    return target.orElseThrow().endpoint();
  }

  AttemptOrigin origin() {
    return origin;
  }

  boolean isPrefill() {
    return target.filter(destination -> destination.role() == ServerRole.READER).isPresent();
  }

  /** Whether the client receives this attempt's output. */
  boolean isStreaming() {
    return request.isStreamedBy(this);
  }

  /** The reserved state that the attempt decodes from; empty if it prefills the prompt itself. */
  Optional<ReservedState<S>> decodedState() {
    return decodedState;
  }

  void setDecodedState(Optional<ReservedState<S>> state) {
    decodedState = state;
  }

  /** Sets the handle that controls the attempt, once it was sent to the engine. */
  void setHandle(AttemptHandle newHandle) {
    handle = Optional.of(newHandle);
  }

  /** Closes the attempt's connection; returns false if the attempt was never sent. */
  boolean cancelAtEngine() {
    handle.ifPresent(AttemptHandle::cancel);
    return handle.isPresent();
  }

  /** Time for which the engine has sent nothing of the attempt's stream, in microseconds. */
  long silentMicros() {
    return handle.map(AttemptHandle::silentMicros).orElse(0L);
  }

  /** Longest time between data of the attempt's stream so far, in microseconds. */
  long longestGapMicros() {
    return handle.map(AttemptHandle::longestGapMicros).orElse(0L);
  }

  /** Stops reading the attempt's output. */
  void pause() {
    handle.ifPresent(AttemptHandle::pause);
  }

  /** Resumes reading the attempt's output. */
  void resume() {
    handle.ifPresent(AttemptHandle::resume);
  }

  void setTimeout(Loop.Timer timer) {
    timeout = timer;
  }

  /** Whether the router has cancelled the attempt. */
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

  /** Offers direct output to the engine once, after the listener has received the first chunk. */
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
