package lemondock.net;

import java.util.concurrent.atomic.AtomicLong;

/** Upper bound on the bytes that all connections together hold for one purpose. Any thread. */
public final class ByteBudget {
  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /** Creates a budget without reservations. */
  public ByteBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves bytes; returns false and reserves nothing if they exceed the budget. */
  public boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /**
   * Reserves bytes only if at most the given fraction of the budget is reserved afterwards, so that
   * the rest stays available to other callers.
   *
   * @param fraction fraction of the budget, 0 to 1
   * @return false, with nothing reserved, if the bytes do not fit
   */
  public boolean tryReserveWithin(double fraction, long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes * fraction) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Releases bytes that were reserved. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Bytes currently reserved. */
  public long reservedBytes() {
    return reservedBytes.get();
  }
}
