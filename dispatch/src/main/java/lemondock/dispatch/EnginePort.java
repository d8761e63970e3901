package lemondock.dispatch;

import lemondock.net.http.RequestFailure;
import lemondock.policy.AttemptOutcome;

/**
 * The port to the engines. An adapter translates calls into messages of the engines' protocol and
 * reports the replies; it makes no decisions. Loop thread only.
 *
 * @param <P> the prompt that is sent to an engine
 * @param <S> a state that is reserved at a prefill server, as the engines' protocol represents it
 * @param <C> an event of the output stream
 */
public interface EnginePort<P, S, C extends StreamChunk> {
  /** Sends a prefill to a server. */
  AttemptHandle prefill(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<P> request,
      AttemptListener<S, C> listener);

  /** Sends a decode to a server, from a state that a prefill has reserved. */
  AttemptHandle decode(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<P> request,
      S state,
      AttemptListener<S, C> listener);

  /** Sends a request for prefill and decode to a server of a mixed kind. */
  AttemptHandle prefillAndDecode(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<P> request,
      AttemptListener<S, C> listener);

  /** Releases the state that the prefill with this attempt id has reserved at a server. */
  void release(Endpoint endpoint, String attemptId, P prompt);

  /**
   * Releases every state that is reserved for the request and that no attempt waits for, without
   * affecting its attempts. Needed while attempts are in flight, or after a prefill that ended
   * without a reply.
   *
   * @param requestEnded whether the request has ended, so that the work that servers still do for
   *     it is useless
   * @return false, with nothing done, if the protocol has no such message; states are then released
   *     by the ids of their attempts
   */
  default boolean releaseIdle(Endpoint endpoint, String attemptId, P prompt, boolean requestEnded) {
    return false;
  }

  /**
   * Called for a state that a request in progress does not need any more, because another state is
   * used or this one was not found; by default the state is released. An adapter whose protocol
   * identifies states by the request must not release it now, because that would also release the
   * state in use.
   */
  default void releaseSuperseded(Endpoint endpoint, String attemptId, P prompt) {
    release(endpoint, attemptId, prompt);
  }

  /**
   * Releases the state that a cancelled or failed prefill may have reserved or may still reserve.
   * The adapter ensures that nothing stays reserved: either immediately or, where the protocol
   * identifies states by the request, with {@link #releaseIdle}.
   */
  void releaseUncertain(Endpoint endpoint, String attemptId, P prompt);

  /** The outcome of an attempt whose HTTP request got no complete response. */
  static AttemptOutcome outcomeOf(RequestFailure failure) {
    return switch (failure) {
      case NOT_SENT -> AttemptOutcome.CONNECT_FAILED;
      // this gateway has no connection left, or was too late; the server is not at fault
      case LOCAL_LIMIT_REACHED, SEND_LIMIT_EXCEEDED -> AttemptOutcome.ABANDONED_BEFORE_SEND;
      case CONNECTION_LOST -> AttemptOutcome.RESET;
      case MALFORMED -> AttemptOutcome.ERROR;
    };
  }
}
