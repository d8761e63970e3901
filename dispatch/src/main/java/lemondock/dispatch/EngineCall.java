package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.net.http.BufferingReceiver;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpClient;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;

/**
 * One attempt as an HTTP request to an engine, whatever the engine's protocol: it ends exactly
 * once, by a cancel or by an outcome for its listener, and the listener hears nothing afterwards. A
 * stream that has begun and then stays silent is broken off. Loop thread only, but for {@link
 * #dataReceived}.
 *
 * @param <S> how a protocol names a reserved state
 * @param <C> an event of a stream
 */
public abstract class EngineCall<S, C extends StreamChunk> extends BufferingReceiver
    implements AttemptHandle {
  private final AttemptListener<S, C> listener;
  private final StreamIdleTimeout idleTimeout;
  private HttpCall httpCall;
  private boolean streamBegun;
  private boolean ended;

  /**
   * Makes a call that is not sent yet.
   *
   * @param maxSilenceMicros time without an event after which a stream is broken off
   */
  protected EngineCall(
      AttemptListener<S, C> listener, Loop loop, StallMonitor stallMonitor, long maxSilenceMicros) {
    this.listener = listener;
    this.idleTimeout =
        new StreamIdleTimeout(
            loop,
            stallMonitor,
            maxSilenceMicros,
            () -> breakOff(AttemptOutcome.RESET, silenceMessage()));
  }

  /** Must be called once, with what {@link HttpClient#send} gave for this receiver. */
  public final void sentAs(HttpCall call) {
    httpCall = call;
  }

  /** Says in an outcome that the stream stayed silent. */
  protected abstract String silenceMessage();

  /** Called when the call ends, before its listener hears of it; must not throw. */
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

  /** Whether the call has ended, so that its listener must hear nothing more. */
  protected final boolean hasEnded() {
    return ended;
  }

  /** Whether the listener has had the stream's first event with output. */
  protected final boolean hasStreamBegun() {
    return streamBegun;
  }

  /** The stream is not silent; any thread. */
  protected final void dataReceived() {
    idleTimeout.dataReceived();
  }

  /**
   * Passes an event of the stream to the listener; the idle time-out runs from the first output.
   */
  protected final void forward(C chunk) {
    dataReceived();
    listener.chunkReceived(chunk);
    if (!streamBegun && !ended && chunk.hasOutput()) {
      streamBegun = true;
      idleTimeout.start();
    }
  }

  /** Ends the call: the engine has read the prompt. */
  protected final void endWithState(S state, int cachedTokens) {
    if (!ended) {
      markEnded();
      listener.prefillCompleted(state, cachedTokens);
    }
  }

  /** Ends the call. */
  protected final void end(AttemptOutcome outcome, boolean stateMissing, String message) {
    if (!ended) {
      markEnded();
      listener.attemptEnded(outcome, stateMissing, message);
    }
  }

  /** Ends the call and takes nothing more from the engine. */
  protected final void breakOff(AttemptOutcome outcome, String message) {
    httpCall.cancel();
    end(outcome, false, message);
  }

  /** A timer that is left to run out would keep the whole call in memory until then. */
  private void markEnded() {
    onEnd();
    ended = true;
    idleTimeout.stop();
  }
}
