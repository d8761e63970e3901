package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.engine.CompletionChunk;

/** Assembles the tool calls of one request from parts that arrive in any number of events. */
final class ToolCallAssembler {
  private final Map<Integer, PartialToolCall> partialCalls = new TreeMap<>();
  private int argumentChars;

  private static final class PartialToolCall {
    private final StringBuilder arguments = new StringBuilder();
    private String id = "";
    private String name = "";

    void add(CompletionChunk.ToolCallDelta delta) {
      id = delta.id().isEmpty() ? id : delta.id();
      name = delta.name().isEmpty() ? name : delta.name();
      arguments.append(delta.arguments());
    }

    ToolCall toToolCall(String defaultId) {
      return new ToolCall(id.isEmpty() ? defaultId : id, name, arguments.toString());
    }
  }

  /** Adds a part of a tool call. */
  void add(CompletionChunk.ToolCallDelta delta) {
    partialCalls.computeIfAbsent(delta.index(), index -> new PartialToolCall()).add(delta);
    argumentChars += delta.arguments().length();
  }

  /** Whether the number of calls or the total length of their arguments exceeds the limits. */
  boolean exceeds(AnswerLimits limits) {
    return partialCalls.size() > limits.maxToolCallsPerTurn()
        || argumentChars > limits.maxArgumentChars();
  }

  /**
   * The assembled calls, ordered by the engine's index. Calls without an id get one that is unique
   * within the answer.
   *
   * @param turn index of the current turn
   */
  List<ToolCall> toolCalls(int turn) {
    List<ToolCall> calls = new ArrayList<>();
    partialCalls.forEach(
        (index, partial) -> calls.add(partial.toToolCall("call-" + turn + "-" + index)));
    return calls;
  }

  /** Discards all parts. */
  void clear() {
    partialCalls.clear();
    argumentChars = 0;
  }
}
