package lemondock.policy;

/**
 * What readers may hold for one request, and when it has to be released at the latest.
 *
 * <p>Only an answer proves that a peer has got what was sent to it: a read may have ended and its answer be lost, a write may have left on a
 * connection that has fallen silent. So something may be held from the moment in which a read is sent until a writer has answered from
 * the state or for want of it, whatever else is under way. A release takes nothing from an attempt that has reached its server, neither from
 * a read that goes on nor from a write that waits, so it is repeated for as long as something may be held.
 *
 * <p>Times are microseconds. The limit is the deployment's (release-within); the transport of the release has the platform's slack on top of it.
 */
final class HeldState {
    /** Part of the limit from the last moment in which nothing was held to the next release. */
    static final double RELEASE_SHARE = 0.7;
    /** Part of the limit that a write has, from the read's answer on, to arrive before its state is released. Both parts make the limit. */
    static final double WRITE_SHARE = 0.3;

    private final long limit;
    /** A read is under way: it may end at any moment, and its answer be lost. */
    private boolean reading;
    /** A read has answered that its state is held. */
    private boolean known;
    /** A read broke off, or a release was begun while a write was under way: whether anything is held cannot be told. */
    private boolean doubtful;
    private boolean timed;
    private long clearAt;
    private long dueAt;

    /** Nothing is held yet; a limit of 0 means that the deployment has none. */
    HeldState(long limit) {
        this.limit = limit;
    }

    /** A read was sent: from now on it may leave a state. */
    void readSent(long now) {
        if (!mayHold()) {
            clearAt = now;
        }
        reading = true;
        reckon(now);
    }

    /** A read has answered: its state is held, and may have been for as long as the answer was on its way. */
    void readAnswered(long now) {
        reading = false;
        known = true;
        dueAt = Math.max(dueAt, now + (long) (limit * WRITE_SHARE));
    }

    /** A read ended without an answer; one that provably never ran has left nothing. */
    void readFailed(boolean neverRan) {
        reading = false;
        doubtful |= !neverRan;
    }

    /** A writer has answered from the state, or that there is none: nothing is held. */
    void taken() {
        reading = false;
        known = false;
        doubtful = false;
    }

    /** A release was begun. A write under way may have arrived before it, and its state then waits for it as before. */
    void released(long now, boolean writing) {
        known = false;
        doubtful = writing;
        clearAt = now;
        reckon(now);
    }

    private void reckon(long now) {
        dueAt = Math.max(now, clearAt + (long) (limit * RELEASE_SHARE));
    }

    /** Whether anything may be held. */
    boolean mayHold() {
        return reading || known || doubtful;
    }

    /** Whether what may be held has to be released now. */
    boolean isDue(long now) {
        return mayHold() && limit > 0 && now >= dueAt;
    }

    /** Time until the next look, if a timer is wanted that is not set already; 0 for none. */
    long timer(long now) {
        if (timed || !mayHold() || limit <= 0) {
            return 0;
        }
        timed = true;
        return Math.max(1, dueAt - now);
    }

    /** The timer has run. */
    void timerRan() {
        timed = false;
    }
}
