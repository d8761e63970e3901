package lemondock.policy;

/**
 * The state that readers may hold for one request, and the latest time to release it.
 *
 * <p>Only an answer proves that a server has received what was sent to it: a write may have been
 * sent on a connection that no longer delivers anything, and a read may have ended although its
 * answer was lost. Therefore the time limit of a held state runs from its read's answer until a
 * writer has answered from the state or has answered that there is none, regardless of other
 * attempts in flight. A read that takes far longer than expected may also have left a state. A
 * release does not harm a write that waits at its server, so the release is repeated as long as a
 * state may be held.
 *
 * <p>Times are in microseconds. The limit is the deployment's setting (release-within); the
 * platform grants additional slack for the release to arrive.
 */
final class ReservedState {
  /**
   * Share of the limit after which a state that may be held is released; the rest of the limit and
   * the slack are for the release to reach its server.
   */
  static final double RELEASE_SHARE = 0.8;

  /**
   * Minimum share of the limit, counted from a read's answer, that a write is given to arrive if an
   * earlier state of the request is still to be released.
   */
  static final double REREAD_SHARE = 0.3;

  /** Share of the limit after which a read without an answer is checked again. */
  private static final double RECHECK_SHARE = 0.2;

  private static final long NEVER = Long.MAX_VALUE;

  private final long limitMicros;

  /** A read is in flight: it may end at any moment, and its answer may be lost. */
  private boolean readInFlight;

  /** A read was answered: its state is held. */
  private boolean confirmed;

  /**
   * A read ended without an answer, or a release was sent while a write was in flight: whether a
   * state is held is unknown.
   */
  private boolean uncertain;

  private long dueAtMicros;

  /**
   * Creates the record of a request without any state; a limit of 0 means that the deployment sets
   * no limit.
   */
  ReservedState(long limitMicros) {
    this.limitMicros = limitMicros;
  }

  /**
   * Records that a read was sent. After 0.8 of the limit ({@link #RELEASE_SHARE}) without an
   * answer, the read may have ended with its answer lost.
   */
  void recordReadSent(long nowMicros) {
    if (!mayBeReserved()) {
      dueAtMicros = nowMicros + share(RELEASE_SHARE);
    }
    readInFlight = true;
  }

  /** Records that a read was answered: its state is held. */
  void recordReadAnswered(long nowMicros) {
    long latestMicros = nowMicros + share(RELEASE_SHARE);
    dueAtMicros =
        isOnlyReadInFlight()
            ? latestMicros
            : Math.min(latestMicros, Math.max(dueAtMicros, nowMicros + share(REREAD_SHARE)));
    readInFlight = false;
    confirmed = true;
  }

  /**
   * Records that a read ended without an answer. It may have succeeded at its server at that
   * moment, unless it provably never ran.
   */
  void recordReadFailed(long nowMicros, boolean neverRan) {
    readInFlight = false;
    if (!neverRan) {
      markUncertain(nowMicros);
    }
  }

  /**
   * Records that a write ended without an answer from the state. If a release was sent while the
   * write was in flight, the state may have been held for the write until now.
   */
  void recordWriteFailed(long nowMicros) {
    if (uncertain) {
      markUncertain(nowMicros);
    }
  }

  /**
   * Restarts the whole limit unless a state is confirmed: another read may lead to an answer within
   * it, and the writer's answer ends all states that are held.
   */
  private void markUncertain(long nowMicros) {
    dueAtMicros = confirmed ? dueAtMicros : nowMicros + limitMicros;
    uncertain = true;
  }

  /**
   * Records that a writer has answered from the state or has found none: no state is held any more.
   */
  void clear() {
    readInFlight = false;
    confirmed = false;
    uncertain = false;
  }

  /**
   * Records that a release was sent. A write in flight may have arrived at its server before the
   * release; its state is then held for it as before.
   */
  void recordRelease(long nowMicros, boolean writeInFlight) {
    confirmed = false;
    uncertain = writeInFlight;
    dueAtMicros = nowMicros + share(RELEASE_SHARE);
  }

  /**
   * Postpones the release until the read in flight is expected to be suspected lost, but at most
   * until the next check, because that time may change.
   */
  void postponeUntilReadLost(long nowMicros, long lostAtMicros) {
    if (lostAtMicros > nowMicros) {
      dueAtMicros = Math.min(lostAtMicros, nowMicros + share(RECHECK_SHARE));
    }
  }

  /** Time for which a state may be held until it is released. */
  long releaseAfterMicros() {
    return share(RELEASE_SHARE);
  }

  private long share(double fraction) {
    return (long) (limitMicros * fraction);
  }

  /** Whether a state may be held only because a read is in flight. */
  boolean isOnlyReadInFlight() {
    return readInFlight && !confirmed && !uncertain;
  }

  /** Whether a state may be held. */
  boolean mayBeReserved() {
    return readInFlight || confirmed || uncertain;
  }

  /** Whether a state that may be held has to be released now. */
  boolean isDue(long nowMicros) {
    return nowMicros >= dueAtMicros();
  }

  /** When the state that may be held has to be released; {@link Long#MAX_VALUE} for never. */
  long dueAtMicros() {
    return mayBeReserved() && limitMicros > 0 ? dueAtMicros : NEVER;
  }
}
