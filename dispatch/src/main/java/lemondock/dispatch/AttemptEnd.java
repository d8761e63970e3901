package lemondock.dispatch;

import lemondock.policy.AttemptOutcome;

/**
 * The end of an attempt.
 *
 * @param cachedTokens prompt tokens that the engine found cached
 * @param stateMissing whether the state to decode from did not exist
 * @param cause text for logs and for the listener of an interrupted stream
 */
record AttemptEnd(AttemptOutcome outcome, int cachedTokens, boolean stateMissing, String cause) {
  static AttemptEnd of(AttemptOutcome outcome, String cause) {
    return new AttemptEnd(outcome, 0, false, cause);
  }
}
