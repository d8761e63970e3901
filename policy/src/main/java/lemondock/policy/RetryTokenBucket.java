package lemondock.policy;

/**
 * Retry budget: each arriving request adds a fraction of a retry. This prevents retry storms while
 * all servers are slow.
 */
final class RetryTokenBucket {
  private static final double TOKENS_PER_REQUEST = 0.3;
  private static final double MAX_TOKENS = 5.0;

  private double tokens = MAX_TOKENS;

  /** Adds the share of one arriving request. */
  void addRequestShare() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  boolean hasToken() {
    return tokens >= 1;
  }

  /** Takes one retry; this may overdraw the bucket, see {@link #isOverdrawn}. */
  void takeToken() {
    tokens--;
  }

  boolean isOverdrawn() {
    return tokens < 0;
  }

  /** Resets a negative balance to 0, because the retry that caused it does not take place. */
  void clearDebt() {
    tokens = Math.max(0, tokens);
  }
}
