package lemondock.net.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bytes that all connections together may hold for one purpose. Any thread. */
public final class ByteBudget {
  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /** A budget of so many bytes. */
  public ByteBudget(long most) {
    this.maxBytes = most;
  }

  /** Takes bytes; false, with nothing taken, if they do not fit. */
  public boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /**
   * Takes bytes only while that part of the budget, 0 to 1, is not in use: the rest is kept for
   * others.
   */
  public boolean tryReserveWithin(double part, long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes * part) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives back bytes that were taken. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Bytes taken now. */
  public long reservedBytes() {
    return reservedBytes.get();
  }
}
