package lemondock.policy;

/**
 * What readers may hold for one request, and when it has to be released at the latest.
 *
 * <p>Only an answer proves that a peer has got what was sent to it: a write may have left on a
 * connection that has fallen silent, a read may have ended and its answer be lost. So a state's
 * time runs from its read's answer until a writer has answered from it or for want of it, whatever
 * else is in flight; and a read that is out far longer than it should may have left one. A release
 * takes nothing from a write that waits at its server, so it is repeated for as long as something
 * may be held.
 *
 * <p>Times are microseconds. The limit is the deployment's (release-within); the platform's slack
 * on top of it is for the release to arrive.
 */
final class ReservedState {
  /**
   * Part of the limit after which what may be held is released; the rest and the slack are for the
   * release to find a server.
   */
  static final double RELEASE_SHARE = 0.8;

  /**
   * The same that a write has at least to arrive where an earlier state of the request is still to
   * be released.
   */
  static final double REREAD_SHARE = 0.3;

  /** Part of the limit after which a read without an answer is looked at again. */
  private static final double RECHECK_SHARE = 0.2;

  private static final long NEVER = Long.MAX_VALUE;

  private final long limitMicros;

  /** A read is in flight: it may end at any moment, and its answer be lost. */
  private boolean reading;

  /** A read has answered that its state is held. */
  private boolean confirmed;

  /**
   * A read broke off, or a release was begun while a write was in flight: whether anything is held
   * cannot be told.
   */
  private boolean uncertain;

  private long dueAtMicros;

  /** Nothing is held yet; a limit of 0 means that the deployment has none. */
  ReservedState(long limitMicros) {
    this.limitMicros = limitMicros;
  }

  /**
   * A read was sent; from 0.8 of the limit on it may be taken to have ended and lost its answer.
   */
  void readSent(long nowMicros) {
    if (!mayBeReserved()) {
      dueAtMicros = nowMicros + share(RELEASE_SHARE);
    }
    reading = true;
  }

  /** A read has answered: its state is held. */
  void readAnswered(long nowMicros) {
    long latestMicros = nowMicros + share(RELEASE_SHARE);
    dueAtMicros =
        onlyReading()
            ? latestMicros
            : Math.min(latestMicros, Math.max(dueAtMicros, nowMicros + share(REREAD_SHARE)));
    reading = false;
    confirmed = true;
  }

  /**
   * A read ended without an answer: it may have ended well just then, unless it provably never ran.
   */
  void readFailed(long nowMicros, boolean neverRan) {
    reading = false;
    if (!neverRan) {
      markUncertain(nowMicros);
    }
  }

  /**
   * A write ended without an answer from the state. If a release was begun meanwhile, the state may
   * have waited for the write until now.
   */
  void writeFailed(long nowMicros) {
    if (uncertain) {
      markUncertain(nowMicros);
    }
  }

  /**
   * The whole limit counts from here: another read may bring the answer within it, and the writer's
   * answer ends all that is held.
   */
  private void markUncertain(long nowMicros) {
    dueAtMicros = confirmed ? dueAtMicros : nowMicros + limitMicros;
    uncertain = true;
  }

  /** A writer has answered from the state, or that there is none: nothing is held. */
  void cleared() {
    reading = false;
    confirmed = false;
    uncertain = false;
  }

  /**
   * A release was begun. A write in flight may have arrived before it, and its state then waits for
   * it as before.
   */
  void released(long nowMicros, boolean writing) {
    confirmed = false;
    uncertain = writing;
    dueAtMicros = nowMicros + share(RELEASE_SHARE);
  }

  /**
   * The read in flight counts as lost from that moment on, as far as is known now: puts the release
   * off until then, or until more may be known.
   */
  void readLostAt(long nowMicros, long lostAtMicros) {
    if (lostAtMicros > nowMicros) {
      dueAtMicros = Math.min(lostAtMicros, nowMicros + share(RECHECK_SHARE));
    }
  }

  /** Time for which something may be held until it is released. */
  long releaseAfterMicros() {
    return share(RELEASE_SHARE);
  }

  private long share(double part) {
    return (long) (limitMicros * part);
  }

  /** Whether a read is in flight and nothing else may be held. */
  boolean onlyReading() {
    return reading && !confirmed && !uncertain;
  }

  /** Whether anything may be held. */
  boolean mayBeReserved() {
    return reading || confirmed || uncertain;
  }

  /** Whether what may be held has to be released now. */
  boolean isDue(long nowMicros) {
    return nowMicros >= dueAtMicros();
  }

  /** When what may be held has to be released; the end of time if nothing is. */
  long dueAtMicros() {
    return mayBeReserved() && limitMicros > 0 ? dueAtMicros : NEVER;
  }
}
