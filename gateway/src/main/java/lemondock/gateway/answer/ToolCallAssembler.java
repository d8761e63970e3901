package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.engine.CompletionChunk;

/** Puts together the tool calls of one request, whose parts come in any number of events. */
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

  /** Takes a part of a call. */
  void add(CompletionChunk.ToolCallDelta delta) {
    partialCalls.computeIfAbsent(delta.index(), index -> new PartialToolCall()).add(delta);
    argumentChars += delta.arguments().length();
  }

  /** Whether the calls are too many or their arguments too long. */
  boolean exceeds(AnswerLimits limits) {
    return partialCalls.size() > limits.maxToolCallsPerTurn()
        || argumentChars > limits.maxArgumentChars();
  }

  /** The calls in the engine's order; those without an id get one that is unique in the answer. */
  List<ToolCall> toolCalls(int turn) {
    List<ToolCall> calls = new ArrayList<>();
    partialCalls.forEach(
        (index, partial) -> calls.add(partial.toToolCall("call-" + turn + "-" + index)));
    return calls;
  }

  /** Forgets all parts. */
  void clear() {
    partialCalls.clear();
    argumentChars = 0;
  }
}
