package lemondock.net.nio;

import java.io.IOException;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides whether a read or write of a socket that has failed is tried again. Only a reset, the end
 * of the stream and a time-out of the kernel mean that a connection is over (RFC 9293, section
 * 3.10.7); a lack of memory or of a route passes (recv(2), send(2), ip(7)). The JDK does not pass
 * on the error number, so a failure that is not known to be final is tried again, and the
 * connection itself tells: when it is over, the next read finds the end of the stream and the next
 * write a broken pipe. Used for one direction of one socket, by one thread at a time.
 */
final class TransferRetry {
  private static final long MIN_DELAY_MICROS = 1_000;
  private static final long MAX_DELAY_MICROS = 20_000;

  /** Time of continuous failure after which the connection is given up. */
  private static final long MAX_FAILING_MICROS = 5_000_000;

  /**
   * Messages of failures that are final, in the C locale. In another locale such a failure is
   * recognized only when the call is tried again.
   */
  private static final Set<String> FINAL_MESSAGES =
      Set.of("Broken pipe", "Connection reset by peer", "Connection reset");

  private static final long NOT_FAILING = Long.MIN_VALUE;

  private long failingSinceMicros = NOT_FAILING;
  private long delayMicros = MIN_DELAY_MICROS;

  /** Called when the call has succeeded. */
  void succeeded() {
    failingSinceMicros = NOT_FAILING;
    delayMicros = MIN_DELAY_MICROS;
  }

  /**
   * Returns the time in microseconds after which a failed call is tried again; empty if the failure
   * means the end of the connection.
   */
  OptionalLong delayAfter(Throwable cause, long nowMicros) {
    if (isFinal(cause)) {
      return OptionalLong.empty();
    }
    if (failingSinceMicros == NOT_FAILING) {
      failingSinceMicros = nowMicros;
    }
    if (nowMicros - failingSinceMicros > MAX_FAILING_MICROS) {
      return OptionalLong.empty();
    }
    long delay = delayMicros;
    delayMicros = Math.min(MAX_DELAY_MICROS, 2 * delayMicros);
    return OptionalLong.of(delay);
  }

  /**
   * Whether a failure is known to mean the end of the connection. The JDK throws subclasses of
   * {@link IOException} for a reset and a closed channel, and the class itself for all other error
   * numbers; it throws an {@link Error} if epoll_ctl fails.
   */
  private static boolean isFinal(Throwable cause) {
    boolean otherErrorNumber = cause.getClass() == IOException.class;
    return !(cause instanceof Error)
        && (!otherErrorNumber || FINAL_MESSAGES.contains(cause.getMessage()));
  }
}
