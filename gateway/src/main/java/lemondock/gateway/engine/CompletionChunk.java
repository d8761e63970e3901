package lemondock.gateway.engine;

import java.util.List;
import java.util.Optional;
import lemondock.dispatch.StreamChunk;

/**
 * One event of an engine's output stream. Token counts are plain ints, since an event comes for
 * each token.
 *
 * @param text a piece of the answer, empty if none
 * @param toolCalls parts of tool calls
 * @param finishReason why the answer ended, empty while it has not
 * @param promptTokens tokens of the prompt, or {@link #NOT_REPORTED}
 * @param cachedTokens prompt tokens that the engine found cached, or {@link #NOT_REPORTED}
 * @param completionTokens tokens of the answer so far, or {@link #NOT_REPORTED}
 * @param error what the engine reports instead of an answer
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
  /** The value of a token count that an event does not have. */
  public static final int NOT_REPORTED = -1;

  /** The mark that closes a stream. */
  public static final CompletionChunk END_OF_STREAM =
      withoutCounts("", List.of(), Optional.empty(), Optional.empty());

  /**
   * A part of the tool call at an index: id and name come with its first part, arguments in any
   * number of parts.
   */
  public record ToolCallDelta(int index, String id, String name, String arguments) {}

  @Override
  public boolean hasOutput() {
    return !text.isEmpty() || !toolCalls.isEmpty() || finishReason.isPresent();
  }

  /** Whether it says anything at all. */
  boolean isEmpty() {
    return !hasOutput() && error.isEmpty() && completionTokens < 0;
  }

  /** An event that holds a piece of text. */
  public static CompletionChunk ofText(String text) {
    return withoutCounts(text, List.of(), Optional.empty(), Optional.empty());
  }

  /** An event that holds a part of a tool call. */
  public static CompletionChunk ofToolCall(ToolCallDelta toolCall) {
    return withoutCounts("", List.of(toolCall), Optional.empty(), Optional.empty());
  }

  /** An event that ends the answer. */
  public static CompletionChunk ofFinishReason(String finishReason) {
    return withoutCounts("", List.of(), Optional.of(finishReason), Optional.empty());
  }

  /** An event that holds an error of the engine, or stands for one that cannot be read. */
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
