package lemondock.dispatch;

import lemondock.policy.AttemptOutcome;

/**
 * Hears what an engine answers to one attempt: either one {@link #prefillCompleted}, or any number
 * of {@link #chunkReceived} and then one {@link #attemptEnded}; a prefill that fails ends by {@link
 * #attemptEnded} too. Loop thread only.
 *
 * @param <S> how the engines' protocol names a reserved state
 * @param <C> an event of the output stream
 */
public interface AttemptListener<S, C extends StreamChunk> {
  /**
   * The prompt was read; its state is reserved at that server until it is fetched or released.
   *
   * @param cachedTokens prompt tokens that the engine found cached
   */
  default void prefillCompleted(S state, int cachedTokens) {}

  /** An event of the output stream. */
  default void chunkReceived(C chunk) {}

  /**
   * The attempt has ended: OK after a complete stream, otherwise why it failed.
   *
   * @param stateMissing whether the server did not find the state that it was to decode from
   * @param cause for logs
   */
  void attemptEnded(AttemptOutcome outcome, boolean stateMissing, String cause);
}
