package lemondock.dispatch;

import lemondock.net.http.RequestFailure;
import lemondock.policy.AttemptOutcome;

/**
 * The port to the engines. An adapter turns calls into messages of the engines' protocol and
 * reports the replies; it makes no decisions. Loop thread only.
 *
 * @param <P> the prompt that an engine gets
 * @param <S> how the engines' protocol names a state that is reserved at a prefill server
 * @param <C> an event of the output stream
 */
public interface EnginePort<P, S, C extends StreamChunk> {
  /** Asks a server to read the prompt; {@code attemptId} is unique and never used again. */
  AttemptHandle prefill(
      Endpoint endpoint,
      String attemptId,
      DispatchedRequest<P> request,
      AttemptListener<S, C> listener);

  /** Asks a server to write the answer from a state that a prefill has reserved. */
  AttemptHandle decode(
      Endpoint endpoint,
      String attemptId,
      DispatchedRequest<P> request,
      S state,
      AttemptListener<S, C> listener);

  /** Asks a server of a mixed kind to read the prompt and to write the answer. */
  AttemptHandle prefillAndDecode(
      Endpoint endpoint,
      String attemptId,
      DispatchedRequest<P> request,
      AttemptListener<S, C> listener);

  /** Releases the state that the prefill of that id has reserved at a server. */
  void release(Endpoint endpoint, String attemptId, P prompt);

  /**
   * Releases whatever is reserved for the request and no attempt waits for, and leaves its attempts
   * alone: attempts are in flight, or a prefill has ended without a reply. False, with nothing
   * done, in a protocol that cannot say this; there states are released by their attempt's id.
   *
   * @param requestEnded whether the request has ended, so that what servers still do for it is of
   *     no use
   */
  default boolean releaseIdle(Endpoint endpoint, String attemptId, P prompt, boolean requestEnded) {
    return false;
  }

  /**
   * A state is of no use though its request goes on: another state is used, or this one was not
   * found. An adapter whose protocol names states by the request must not release it now, for that
   * would release the state in use as well.
   */
  default void releaseSuperseded(Endpoint endpoint, String attemptId, P prompt) {
    release(endpoint, attemptId, prompt);
  }

  /**
   * A prefill that was cancelled or broke may have reserved a state, now or soon. The adapter sees
   * to it that nothing stays reserved: at once or, where a protocol names states by the request, by
   * {@link #releaseIdle}.
   */
  void releaseUncertain(Endpoint endpoint, String attemptId, P prompt);

  /** The outcome of an attempt whose HTTP request got no complete response. */
  static AttemptOutcome outcomeOf(RequestFailure failure) {
    return switch (failure) {
      case NOT_SENT -> AttemptOutcome.CONNECT_FAILED;
      // this gateway lacks a connection; the server is not at fault
      case LOCAL_LIMIT_REACHED -> AttemptOutcome.ABANDONED_BEFORE_SEND;
      case CONNECTION_LOST -> AttemptOutcome.RESET;
      case MALFORMED -> AttemptOutcome.ERROR;
    };
  }
}
