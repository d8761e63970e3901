package lemondock.emulator;

/**
 * Hears what passes on a stand-in's sockets; what the auditor goes by. Called on the stand-in's
 * loop.
 */
public interface TrafficObserver {
  /** Hears nothing. */
  TrafficObserver NONE = event -> {};

  /** Takes one event. */
  void hear(Event event);

  /** What was seen. */
  enum What {
    /** A read, write or abort has come. */
    READ,
    WRITE,
    ABORT,
    /** It was turned away before any work. */
    TURNED_AWAY,
    /** Work that has an effect began: an answer is being written. */
    EFFECT,
    /** The whole response was handed to the socket. */
    ANSWERED,
    /** The connection was lost, or broken on purpose, before that. */
    BROKEN,
    /** A state waits; it was fetched by a writer; it was let go. */
    STATE_KEPT,
    STATE_TAKEN,
    STATE_LET_GO,
    /** The process started, with so many milliseconds of warm-up before it; it died. */
    STARTED,
    DIED,
    /** A gateway was told the list of servers; {@code detail} holds the standings. */
    TOLD
  }

  /**
   * One event.
   *
   * @param at microseconds of the machine's monotonic clock
   * @param where the stand-in's name
   * @param requestId the id under which the gateway sent the work, empty if none
   * @param mark the client's mark in the prompt, empty if none
   * @param gateway the sender's name from its User-Agent
   * @param value tokens, milliseconds or a count, by event
   * @param detail more, by event
   */
  record Event(
      long at,
      String where,
      What what,
      String requestId,
      String mark,
      String gateway,
      long value,
      String detail) {}
}
