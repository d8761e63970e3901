package lemondock.gateway.answer;

/**
 * The result of a tool call, from the client or created by the gateway in its place.
 *
 * @param text the result text that is sent to the model
 * @param isError whether the tool call failed
 */
public record ToolResult(String text, boolean isError) {}
