package lemondock.gateway.answer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The relayed tool calls of one turn and the results that have come. */
final class ToolCallResults {
  private final List<ToolCall> calls;
  private final Map<String, ToolResult> results = new HashMap<>();

  /** For tool calls with distinct ids; none if no tool was called. */
  ToolCallResults(List<ToolCall> calls) {
    this.calls = List.copyOf(calls);
  }

  List<ToolCall> calls() {
    return calls;
  }

  /** The calls whose results have not come. */
  List<ToolCall> pendingCalls() {
    return calls.stream().filter(call -> !results.containsKey(call.id())).toList();
  }

  /** The call of that id, if its result has not come. */
  Optional<ToolCall> pendingCall(String callId) {
    return pendingCalls().stream().filter(call -> call.id().equals(callId)).findFirst();
  }

  /** Takes the result of a pending call. */
  void add(String callId, ToolResult result) {
    results.put(callId, result);
  }

  boolean isComplete() {
    return results.size() == calls.size();
  }

  /** All results, in the order of the calls. */
  List<ToolResult> ordered() {
    return calls.stream().map(call -> results.get(call.id())).toList();
  }
}
