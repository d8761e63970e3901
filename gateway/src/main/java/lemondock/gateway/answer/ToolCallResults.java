package lemondock.gateway.answer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The relayed tool calls of one turn and the results received so far. */
final class ToolCallResults {
  private final List<ToolCall> calls;
  private final Map<String, ToolResult> results = new HashMap<>();

  /** Creates the results of tool calls with distinct ids; the list may be empty. */
  ToolCallResults(List<ToolCall> calls) {
    this.calls = List.copyOf(calls);
  }

  List<ToolCall> calls() {
    return calls;
  }

  /** The calls whose results are outstanding. */
  List<ToolCall> pendingCalls() {
    return calls.stream().filter(call -> !results.containsKey(call.id())).toList();
  }

  /** Finds the call with an id; empty if there is none or its result was received. */
  Optional<ToolCall> findPendingCall(String callId) {
    return pendingCalls().stream().filter(call -> call.id().equals(callId)).findFirst();
  }

  /** Adds the result of a pending call. */
  void add(String callId, ToolResult result) {
    results.put(callId, result);
  }

  boolean isComplete() {
    return results.size() == calls.size();
  }

  /** All results, in the order of the calls; valid once {@link #isComplete}. */
  List<ToolResult> inCallOrder() {
    return calls.stream().map(call -> results.get(call.id())).toList();
  }
}
