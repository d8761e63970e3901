package lemondock.gateway.core;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The calls in progress, with counts of those that wait for tools and of pending tool calls. Loop
 * thread only.
 */
final class OpenCalls {
  private final Set<ClientCall> calls = new HashSet<>();
  private int waitingForTools;
  private long pendingToolCalls;

  void add(ClientCall call) {
    calls.add(call);
  }

  void remove(ClientCall call) {
    calls.remove(call);
  }

  /** A copy, so that calls may be removed while it is iterated. */
  List<ClientCall> snapshot() {
    return List.copyOf(calls);
  }

  int size() {
    return calls.size();
  }

  /** Number of calls that wait only for results of their clients' tools. */
  int waitingForTools() {
    return waitingForTools;
  }

  void addWaitingForTools(int delta) {
    waitingForTools += delta;
  }

  /** Number of relayed tool calls whose results are outstanding. */
  long pendingToolCalls() {
    return pendingToolCalls;
  }

  void addPendingToolCalls(int delta) {
    pendingToolCalls += delta;
  }
}
