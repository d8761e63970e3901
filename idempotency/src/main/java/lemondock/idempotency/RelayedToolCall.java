package lemondock.idempotency;

/**
 * A tool call that was relayed to the client.
 *
 * @param id unique within its call
 * @param answered whether its result has arrived
 */
public record RelayedToolCall(String id, String tool, boolean answered) {}
