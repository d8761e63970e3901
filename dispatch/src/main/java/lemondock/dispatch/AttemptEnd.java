package lemondock.dispatch;

import lemondock.policy.AttemptOutcome;

/**
 * How an attempt ended.
 *
 * @param cachedTokens prompt tokens that the engine found cached
 * @param stateMissing whether there was no state to decode from
 * @param cause for logs and the listener of an interrupted stream
 */
record AttemptEnd(AttemptOutcome outcome, int cachedTokens, boolean stateMissing, String cause) {
  static AttemptEnd of(AttemptOutcome outcome, String cause) {
    return new AttemptEnd(outcome, 0, false, cause);
  }
}
