package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.net.http.BufferingReceiver;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpClient;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;

/**
 * An attempt that is sent as an HTTP request to an engine. Subclasses implement the engine's
 * protocol. A call ends exactly once, by cancellation or with an outcome for its listener; the
 * listener is not called afterwards. A stream that has begun and then stays idle for too long is
 * cancelled. Loop thread only, except for {@link #dataReceived} and {@link #eventInProgress}.
 *
 * @param <S> a reserved state as the protocol represents it
 * @param <C> an event of the output stream
 */
public abstract class EngineCall<S, C extends StreamChunk> extends BufferingReceiver
    implements AttemptHandle {
  private final AttemptListener<S, C> listener;
  private final StreamIdleTimeout idleTimeout;
  private HttpCall httpCall;
  private boolean streamBegun;
  private boolean ended;

  /**
   * Creates a call that is not sent yet.
   *
   * @param idleTimeoutMicros time without bytes of an event after which a stream is cancelled
   */
  protected EngineCall(
      AttemptListener<S, C> listener,
      Loop loop,
      StallMonitor stallMonitor,
      long idleTimeoutMicros) {
    this.listener = listener;
    this.idleTimeout =
        new StreamIdleTimeout(
            loop,
            stallMonitor,
            idleTimeoutMicros,
            () -> cancelAndEnd(AttemptOutcome.RESET, idleTimeoutMessage()));
  }

  /** Must be called once, with the result of {@link HttpClient#send} for this receiver. */
  public final void setHttpCall(HttpCall call) {
    httpCall = call;
  }

  /** The message of the outcome if the stream was idle for too long. */
  protected abstract String idleTimeoutMessage();

  /** Called when the call ends, before its listener is notified; must not throw. */
  protected void onEnd() {}

  @Override
  public final void cancel() {
    markEnded();
    onCancel();
    httpCall.cancel();
  }

  /** Called when the dispatcher cancels the call. */
  protected void onCancel() {}

  @Override
  public final void pause() {
    idleTimeout.pause();
    httpCall.pause();
  }

  @Override
  public final void resume() {
    idleTimeout.resume();
    httpCall.resume();
  }

  @Override
  public final long silentMicros() {
    return streamBegun && !ended ? idleTimeout.silentMicros() : 0;
  }

  @Override
  public final long longestGapMicros() {
    return idleTimeout.longestGapMicros();
  }

  /** Whether the call has ended, so that its listener must not be called again. */
  protected final boolean hasEnded() {
    return ended;
  }

  /** Whether the listener has received the stream's first event with output. */
  protected final boolean hasStreamBegun() {
    return streamBegun;
  }

  /** Restarts the idle timeout because data was received; any thread. */
  protected final void dataReceived() {
    idleTimeout.dataReceived();
  }

  /** An event that takes long to arrive is a sign that its engine is still writing. */
  @Override
  public void eventInProgress() {
    dataReceived();
  }

  /**
   * Passes an event of the stream to the listener; the idle timeout starts with the first output.
   */
  protected final void forward(C chunk) {
    dataReceived();
    listener.chunkReceived(chunk);
    if (!streamBegun && !ended && chunk.hasOutput()) {
      streamBegun = true;
      idleTimeout.start();
    }
  }

  /** Ends a prefill that has completed and reserved a state. */
  protected final void endWithState(S state, int cachedTokens) {
    if (!ended) {
      markEnded();
      listener.prefillCompleted(state, cachedTokens);
    }
  }

  /** Ends the call with an outcome; ignored if it has ended already. */
  protected final void end(AttemptOutcome outcome, boolean stateMissing, String message) {
    if (!ended) {
      markEnded();
      listener.attemptEnded(outcome, stateMissing, message);
    }
  }

  /** Cancels the HTTP request and ends the call with an outcome. */
  protected final void cancelAndEnd(AttemptOutcome outcome, String message) {
    httpCall.cancel();
    end(outcome, false, message);
  }

  /**
   * Marks the call as ended and stops the idle timer, which would otherwise keep the whole call in
   * memory until it expires.
   */
  private void markEnded() {
    onEnd();
    ended = true;
    idleTimeout.stop();
  }
}
