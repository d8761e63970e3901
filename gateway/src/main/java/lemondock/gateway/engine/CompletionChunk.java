package lemondock.gateway.engine;

import java.util.List;
import lemondock.dispatch.StreamChunk;

/**
 * One event of a writer's stream.
 *
 * @param text a piece of the answer, empty if none
 * @param toolCalls pieces of tool calls
 * @param finishReason why the answer ended, null while it has not
 * @param promptTokens tokens of the prompt, -1 if not told here
 * @param cachedTokens prompt tokens found kept, -1 if not told here
 * @param completionTokens tokens of the answer so far, -1 if not told here
 * @param last the stream's closing mark
 * @param error what the engine reports in place of an answer, null if it does not
 */
public record CompletionChunk(
    String text,
    List<ToolCallDelta> toolCalls,
    String finishReason,
    int promptTokens,
    int cachedTokens,
    int completionTokens,
    boolean last,
    String error)
    implements StreamChunk {
  /** The closing mark. */
  public static final CompletionChunk LAST =
      new CompletionChunk("", List.of(), null, -1, -1, -1, true, null);

  /**
   * A piece of the call at an index: id and name come with its first piece, arguments in any number
   * of them.
   */
  public record ToolCallDelta(int index, String id, String name, String arguments) {}

  @Override
  public boolean hasOutput() {
    return !text.isEmpty() || !toolCalls.isEmpty() || finishReason != null;
  }

  static CompletionChunk error(String what) {
    return new CompletionChunk("", List.of(), null, -1, -1, -1, false, what);
  }
}
