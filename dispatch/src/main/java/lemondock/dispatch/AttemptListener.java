package lemondock.dispatch;

import lemondock.policy.AttemptOutcome;

/**
 * Receives an engine's reply to one attempt: either one {@link #prefillCompleted}, or any number of
 * {@link #chunkReceived} and then one {@link #attemptEnded}. A failed prefill also ends with {@link
 * #attemptEnded}. Loop thread only.
 *
 * @param <S> a reserved state as the engines' protocol represents it
 * @param <C> an event of the output stream
 */
public interface AttemptListener<S, C extends StreamChunk> {
  /**
   * The prefill has completed; the server reserves the state until it is fetched or released.
   *
   * @param state the reserved state
   * @param cachedTokens prompt tokens that the engine found cached
   */
  default void prefillCompleted(S state, int cachedTokens) {}

  /** An event of the output stream has arrived. */
  default void chunkReceived(C chunk) {}

  /**
   * The attempt has ended.
   *
   * @param outcome OK after a complete stream, otherwise the kind of failure
   * @param stateMissing whether the server did not find the state to decode from
   * @param cause text for logs
   */
  void attemptEnded(AttemptOutcome outcome, boolean stateMissing, String cause);
}
