package lemondock.gateway.core;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The calls in progress, and how many of them wait for their clients' tools. Loop thread only. */
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

  List<ClientCall> all() {
    return List.copyOf(calls);
  }

  int size() {
    return calls.size();
  }

  /** Calls that wait for nothing but results of their clients' tools. */
  int waitingForTools() {
    return waitingForTools;
  }

  void addWaitingForTools(int change) {
    waitingForTools += change;
  }

  /** Tool calls whose results have not come. */
  long pendingToolCalls() {
    return pendingToolCalls;
  }

  void addPendingToolCalls(int change) {
    pendingToolCalls += change;
  }
}
