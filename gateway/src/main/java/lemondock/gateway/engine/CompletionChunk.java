package lemondock.gateway.engine;

import java.util.List;
import java.util.Optional;
import lemondock.dispatch.StreamChunk;

/**
 * One event of an engine's output stream. Token counts are primitive, to avoid allocations, because
 * an event arrives for each token.
 *
 * @param text a piece of the answer; may be empty
 * @param toolCalls parts of tool calls
 * @param finishReason why the answer ended; empty unless the event ends the answer
 * @param promptTokens tokens of the prompt or {@link #NOT_REPORTED}
 * @param cachedTokens prompt tokens that the engine found cached or {@link #NOT_REPORTED}
 * @param completionTokens tokens of the request's answer so far or {@link #NOT_REPORTED}
 * @param error the engine's error message; empty if the event reports no error
 */
public record CompletionChunk(
    String text,
    List<ToolCallDelta> toolCalls,
    Optional<String> finishReason,
    int promptTokens,
    int cachedTokens,
    int completionTokens,
    Optional<String> error)
    implements StreamChunk {
  /** The value of a token count that the event does not contain. */
  public static final int NOT_REPORTED = -1;

  /** The terminator of a stream. */
  public static final CompletionChunk END_OF_STREAM =
      withoutCounts("", List.of(), Optional.empty(), Optional.empty());

  /**
   * A part of a tool call; parts with the same index belong to the same call. The first part
   * contains the id and the name; the arguments are split into any number of parts.
   */
  public record ToolCallDelta(int index, String id, String name, String arguments) {}

  @Override
  public boolean hasOutput() {
    return !text.isEmpty() || !toolCalls.isEmpty() || finishReason.isPresent();
  }

  /** Whether the event contains neither output nor an error nor a count of completion tokens. */
  boolean isEmpty() {
    return !hasOutput() && error.isEmpty() && completionTokens < 0;
  }

  /** Creates an event that contains a piece of text. */
  public static CompletionChunk ofText(String text) {
    return withoutCounts(text, List.of(), Optional.empty(), Optional.empty());
  }

  /** Creates an event that contains a part of a tool call. */
  public static CompletionChunk ofToolCall(ToolCallDelta toolCall) {
    return withoutCounts("", List.of(toolCall), Optional.empty(), Optional.empty());
  }

  /** Creates an event that ends the answer. */
  public static CompletionChunk ofFinishReason(String finishReason) {
    return withoutCounts("", List.of(), Optional.of(finishReason), Optional.empty());
  }

  /** Creates an event that contains an engine's error or replaces an event that is malformed. */
  static CompletionChunk ofError(String message) {
    return withoutCounts("", List.of(), Optional.empty(), Optional.of(message));
  }

  private static CompletionChunk withoutCounts(
      String text,
      List<ToolCallDelta> toolCalls,
      Optional<String> finishReason,
      Optional<String> error) {
    return new CompletionChunk(
        text, toolCalls, finishReason, NOT_REPORTED, NOT_REPORTED, NOT_REPORTED, error);
  }
}
