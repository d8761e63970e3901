package lemondock.net.http;

import java.util.concurrent.atomic.AtomicLong;

/** A bound on the bytes that all connections together hold for one purpose. Any thread. */
public final class ByteBudget {
  private final long maxBytes;
  private final AtomicLong reservedBytes = new AtomicLong();

  /** Makes a budget of so many bytes. */
  public ByteBudget(long most) {
    this.maxBytes = most;
  }

  /** Reserves bytes; false, with nothing reserved, if they do not fit. */
  public boolean tryReserve(long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /**
   * Reserves bytes only if no more than a part of the budget is reserved then: the rest is kept for
   * others.
   *
   * @param part 0 to 1
   */
  public boolean tryReserveWithin(double part, long bytes) {
    if (reservedBytes.addAndGet(bytes) <= maxBytes * part) {
      return true;
    }
    reservedBytes.addAndGet(-bytes);
    return false;
  }

  /** Gives back bytes that were reserved. */
  public void release(long bytes) {
    reservedBytes.addAndGet(-bytes);
  }

  /** Bytes reserved now. */
  public long reservedBytes() {
    return reservedBytes.get();
  }
}
