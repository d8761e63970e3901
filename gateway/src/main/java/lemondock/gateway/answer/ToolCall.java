package lemondock.gateway.answer;

/**
 * A whole tool call of a writer: the engine's id for it, the tool's name and its arguments as JSON
 * text.
 */
public record ToolCall(String id, String name, String arguments) {}
