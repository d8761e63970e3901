package lemondock.emulator;

/**
 * An event of an emulator: a request or response on its sockets, or a change of its state.
 *
 * @param atMicros time of the event in microseconds, by the machine's monotonic clock
 * @param server name of the emulator
 * @param requestId the id under which the gateway sent the work, empty if none
 * @param mark the mark that the client put into the prompt ({@code #MARK#}), empty if none
 * @param gateway the sender's name from its User-Agent
 * @param value a number whose meaning depends on the kind, such as tokens or milliseconds
 * @param detail text whose meaning depends on the kind, empty if none
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

  /** The kind of an event. */
  public enum Kind {
    /** A request for the prefill of a prompt arrived; {@code value} holds its tokens. */
    PREFILL,
    /** A request for an answer arrived; {@code detail} holds its number of messages. */
    DECODE,
    /** A request to abort another request arrived. */
    ABORT,
    /** A request was rejected before any work was done. */
    REJECTED,
    /**
     * The decode of an answer started, and with it the request's effect; {@code value} holds the
     * request's number of messages.
     */
    DECODE_STARTED,
    /** The complete response was handed to the socket; {@code value} holds its status. */
    ANSWERED,
    /** The connection was lost, or aborted by a fault, before the complete response. */
    CONNECTION_LOST,
    /** A state was reserved for a writer; {@code value} holds its tokens. */
    STATE_RESERVED,
    /** A writer fetched a state; {@code value} holds its tokens. */
    STATE_FETCHED,
    /** A state was released without being fetched; {@code detail} holds the reason. */
    STATE_RELEASED,
    /** The process started; {@code value} holds the duration of its warm-up in milliseconds. */
    STARTED,
    /** The process died. */
    DIED,
    /** The endpoint list was sent to a gateway; {@code detail} holds each server's lifecycle. */
    ENDPOINTS_SENT
  }
}
