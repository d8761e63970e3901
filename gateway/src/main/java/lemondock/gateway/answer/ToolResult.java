package lemondock.gateway.answer;

/**
 * What a client's tool returned.
 *
 * @param text what the model gets to read
 * @param error whether the tool failed
 */
public record ToolResult(String text, boolean error) {}
