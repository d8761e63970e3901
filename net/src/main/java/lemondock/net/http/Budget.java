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

  /**
   * Takes bytes only while that part of the budget, 0 to 1, is not in use: the rest is kept for
   * others.
   */
  public boolean takeWithin(double part, long bytes) {
    if (used.addAndGet(bytes) <= most * part) {
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
