package lemondock.emulator;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import lemondock.net.Loop;

/** KV-cache states that an engine holds until a writer fetches them. Loop thread only. */
final class ReservedStates {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long EXPIRY_MICROS = 30 * MICROS_PER_SECOND;
  private static final long ABORT_RETENTION_MICROS = MICROS_PER_SECOND;
  private static final int MAX_REMEMBERED_ABORTS = 4_096;

  private final Loop loop;
  private final TrafficRecorder traffic;
  private final EngineMemory memory;
  private final Map<String, State> states = new LinkedHashMap<>();

  /** Ids of aborted requests that had no job at the engine; they may still arrive. */
  private final Set<String> abortedIds = new HashSet<>();

  private record State(TrafficSource source, int tokens) {}

  ReservedStates(Loop loop, TrafficRecorder traffic, EngineMemory memory) {
    this.loop = loop;
    this.traffic = traffic;
    this.memory = memory;
  }

  int count() {
    return states.size();
  }

  /** Reserves the state of a prompt until it is fetched or released, or expires. */
  void reserve(EngineRequest request) {
    int tokens = request.promptTokens();
    traffic.record(TrafficEvent.Kind.STATE_RESERVED, request.source(), tokens, "");
    states.put(request.id(), new State(request.source(), tokens));
    memory.allocate(tokens);
    loop.schedule(EXPIRY_MICROS, () -> release(request.id(), "expired"));
  }

  /** Records that the state of a prompt was reserved and lost at once. */
  void reserveAndLose(EngineRequest request) {
    int tokens = request.promptTokens();
    traffic.record(TrafficEvent.Kind.STATE_RESERVED, request.source(), tokens, "");
    traffic.record(TrafficEvent.Kind.STATE_RELEASED, request.source(), tokens, "lost");
  }

  /** Hands the state of a request to a writer; returns false if there is none. */
  boolean fetch(String requestId) {
    State state = states.remove(requestId);
    if (state == null) {
      return false;
    }
    memory.free(state.tokens());
    traffic.record(TrafficEvent.Kind.STATE_FETCHED, state.source(), state.tokens(), "");
    return true;
  }

  /** Releases the state of a request; does nothing if there is none. */
  void release(String requestId, String reason) {
    State state = states.remove(requestId);
    if (state != null) {
      memory.free(state.tokens());
      traffic.record(TrafficEvent.Kind.STATE_RELEASED, state.source(), state.tokens(), reason);
    }
  }

  /** Remembers an abort for one second, because the request may arrive after it. */
  void rememberAborted(String requestId) {
    if (abortedIds.size() < MAX_REMEMBERED_ABORTS) {
      abortedIds.add(requestId);
      loop.schedule(ABORT_RETENTION_MICROS, () -> abortedIds.remove(requestId));
    }
  }

  /** Returns whether a request was aborted recently, and forgets the abort. */
  boolean consumeAbort(String requestId) {
    return abortedIds.remove(requestId);
  }
}
