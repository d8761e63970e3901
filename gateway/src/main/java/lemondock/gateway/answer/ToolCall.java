package lemondock.gateway.answer;

/**
 * A complete tool call of a model.
 *
 * @param id the engine's id for it, unique within the turn
 * @param name name of the tool
 * @param arguments JSON text, as the model wrote it
 */
public record ToolCall(String id, String name, String arguments) {}
