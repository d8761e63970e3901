package lemondock.net.nio;

import java.util.Arrays;

/**
 * Computes a lower bound of the time at which a client has connected that is now accepted from a
 * listening socket. Clients are accepted in the order in which they connected, and at most {@link
 * ListeningPort#BACKLOG} others were waiting when the client connected (listen(2)): any client
 * accepted before those was accepted before this one connected. I/O thread only.
 */
final class BacklogClock {
  private final ArrivalClock arrivalClock;

  /**
   * For each of the last clients, a time before it was accepted; the oldest one at {@link #next}.
   */
  private final long[] acceptedMicros = new long[ListeningPort.BACKLOG + 1];

  private int next;

  /** A time at which all clients that had connected were accepted. */
  private long emptyMicros;

  /**
   * Creates a clock for a socket that begins to listen.
   *
   * @param nowMicros a time at which no client has connected yet
   */
  BacklogClock(ArrivalClock arrivalClock, long nowMicros) {
    this.arrivalClock = arrivalClock;
    this.emptyMicros = nowMicros;
    Arrays.fill(acceptedMicros, nowMicros);
  }

  /**
   * Records that a client was accepted.
   *
   * @param beforeMicros a time before the accept was started
   * @param startedMicros a time at which the accept had been started, or {@link
   *     ArrivalClock#NOT_STARTED}
   * @return the earliest time at which this client may have connected
   */
  long clientAccepted(long beforeMicros, long startedMicros) {
    emptyMicros = arrivalClock.earliestArrivalMicros(startedMicros, emptyMicros);
    long earliestMicros = Math.max(emptyMicros, acceptedMicros[next]);
    acceptedMicros[next] = beforeMicros;
    next = (next + 1) % acceptedMicros.length;
    return earliestMicros;
  }
}
