package lemondock.policy;

/**
 * Budget for retries: requests earn a part of one each, so that no storm begins when all is slow.
 */
final class RetryTokenBucket {
  private static final double TOKENS_PER_REQUEST = 0.3;
  private static final double MAX_TOKENS = 5.0;

  private double tokens = MAX_TOKENS;

  void earn() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  boolean holdsRetry() {
    return tokens >= 1;
  }

  /** Takes one retry; the bucket may be overdrawn by it, see {@link #isOverdrawn}. */
  void spend() {
    tokens--;
  }

  boolean isOverdrawn() {
    return tokens < 0;
  }

  /** Undoes a debt: the retry that made it does not take place. */
  void forgiveDebt() {
    tokens = Math.max(0, tokens);
  }
}
