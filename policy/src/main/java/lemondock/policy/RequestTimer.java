package lemondock.policy;

/**
 * The kinds of timer that the router sets. The host's timers carry one number, the token, which
 * holds the kind and the request; request 0 stands for timers that belong to no request.
 */
enum RequestTimer {
  // The order is part of the tokens, which the simulator's recordings contain.
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
