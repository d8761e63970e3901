package lemondock.emulator;

/**
 * Something that passed on an emulator's sockets.
 *
 * @param atMicros when, by the machine's monotonic clock
 * @param server name of the emulator
 * @param requestId the id under which the gateway sent the work, empty if none
 * @param mark the client's mark in the prompt, empty if none
 * @param gateway the sender's name from its User-Agent
 * @param value tokens, milliseconds or a count, by kind
 * @param detail more, by kind
 */
public record TrafficEvent(
    long atMicros,
    String server,
    Kind kind,
    String requestId,
    String mark,
    String gateway,
    long value,
    String detail) {

  /** What happened. */
  public enum Kind {
    /** A request for the prefill of a prompt arrived; {@code value} holds its tokens. */
    PREFILL,
    /** A request for an answer arrived; {@code detail} holds its number of messages. */
    DECODE,
    /** A request to abort another arrived. */
    ABORT,
    /** A request was rejected before any work was done. */
    REJECTED,
    /** Work that has an effect began: an answer is being written. */
    DECODE_STARTED,
    /** The complete response was handed to the socket; {@code value} holds its status. */
    ANSWERED,
    /** The connection was lost, or broken on purpose, before that. */
    CONNECTION_LOST,
    /** A state waits for a writer. */
    STATE_RESERVED,
    /** A writer fetched a state. */
    STATE_FETCHED,
    /** A state was dropped; {@code detail} holds the reason. */
    STATE_RELEASED,
    /** The process started; {@code value} holds the milliseconds of its warm-up. */
    STARTED,
    /** The process died. */
    DIED,
    /** A gateway was sent the endpoint list; {@code detail} holds each server's lifecycle. */
    ENDPOINTS_SENT
  }
}
