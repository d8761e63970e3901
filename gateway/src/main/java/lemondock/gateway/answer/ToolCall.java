package lemondock.gateway.answer;

/**
 * A complete tool call that a model has generated.
 *
 * @param id unique within the turn; given by the engine, or by the gateway if the engine gave none
 * @param name name of the tool
 * @param arguments JSON text as the model generated it; not validated
 */
public record ToolCall(String id, String name, String arguments) {}
