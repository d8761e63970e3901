package lemondock.net.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that all connections together may hold for one purpose. Any thread. */
public final class Budget {
    private final long most;
    private final AtomicLong used = new AtomicLong();

    /** A budget of so many bytes. */
    public Budget(long most) {
        this.most = most;
    }

    /** Takes bytes; false, with nothing taken, if they do not fit. */
    public boolean take(long bytes) {
        if (used.addAndGet(bytes) <= most) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    /** Gives back bytes that were taken. */
    public void give(long bytes) {
        used.addAndGet(-bytes);
    }

    /** Bytes taken now. */
    public long used() {
        return used.get();
    }
}
