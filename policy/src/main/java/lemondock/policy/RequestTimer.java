package lemondock.policy;

/**
 * The kinds of timers that the router sets. A timer of the host carries a single number, the token,
 * which encodes the kind and the request id; id 0 marks timers that belong to no request.
 */
enum RequestTimer {
  // The order must not change: a token encodes it, and the simulator's recordings contain tokens.
  DEADLINE,
  QUEUE_TIMEOUT,
  REAP_SESSIONS,
  QUEUE_SCAN,
  ATTEMPT_TIMEOUT,
  STATE_RELEASE;

  private static final RequestTimer[] KINDS = values();

  /** The token of a timer of this kind for one request. */
  long token(long requestId) {
    return requestId * KINDS.length + ordinal();
  }

  /** The token of a timer of this kind that belongs to no request. */
  long token() {
    return token(0);
  }

  static RequestTimer kindOf(long token) {
    return KINDS[(int) (token % KINDS.length)];
  }

  static long requestIdOf(long token) {
    return token / KINDS.length;
  }
}
