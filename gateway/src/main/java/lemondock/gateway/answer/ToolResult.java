package lemondock.gateway.answer;

/** What a client's tool gave: its text, and whether it is an error. */
public record ToolResult(String text, boolean error) {}
