package lemondock.emulator;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import lemondock.net.Loop;

/** Prefilled states that wait at an engine until a writer fetches them. Loop thread only. */
final class ReservedStates {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long EXPIRY_MICROS = 30 * MICROS_PER_SECOND;
  private static final long ABORT_MEMORY_MICROS = MICROS_PER_SECOND;
  private static final int MAX_ABORTED = 4_096;

  private final Loop loop;
  private final TrafficRecorder traffic;
  private final EngineMemory memory;
  private final Map<String, State> states = new LinkedHashMap<>();

  /** Requests that were aborted before they arrived. */
  private final Set<String> aborted = new HashSet<>();

  private record State(TrafficSource source, int tokens) {}

  ReservedStates(Loop loop, TrafficRecorder traffic, EngineMemory memory) {
    this.loop = loop;
    this.traffic = traffic;
    this.memory = memory;
  }

  int count() {
    return states.size();
  }

  /** Reserves the state of a prompt, until it is fetched, released or expired. */
  void reserve(EngineRequest request) {
    int tokens = request.promptTokens();
    traffic.record(TrafficEvent.Kind.STATE_RESERVED, request.source(), tokens, "");
    states.put(request.id(), new State(request.source(), tokens));
    memory.allocate(tokens);
    loop.schedule(EXPIRY_MICROS, () -> release(request.id(), "expired"));
  }

  /** Reserves the state of a prompt and loses it at once. */
  void reserveAndLose(EngineRequest request) {
    int tokens = request.promptTokens();
    traffic.record(TrafficEvent.Kind.STATE_RESERVED, request.source(), tokens, "");
    traffic.record(TrafficEvent.Kind.STATE_RELEASED, request.source(), tokens, "lost");
  }

  /** Hands a state to a writer; false if there is none of that request. */
  boolean fetch(String requestId) {
    State state = states.remove(requestId);
    if (state == null) {
      return false;
    }
    memory.free(state.tokens());
    traffic.record(TrafficEvent.Kind.STATE_FETCHED, state.source(), state.tokens(), "");
    return true;
  }

  /** Releases the state of a request, if there is one. */
  void release(String requestId, String reason) {
    State state = states.remove(requestId);
    if (state != null) {
      memory.free(state.tokens());
      traffic.record(TrafficEvent.Kind.STATE_RELEASED, state.source(), state.tokens(), reason);
    }
  }

  /** Remembers for a moment that a request is aborted: it may still be on its way. */
  void rememberAborted(String requestId) {
    if (aborted.size() < MAX_ABORTED) {
      aborted.add(requestId);
      loop.schedule(ABORT_MEMORY_MICROS, () -> aborted.remove(requestId));
    }
  }

  /** Whether a request was aborted lately; that is forgotten with the answer. */
  boolean takeAborted(String requestId) {
    return aborted.remove(requestId);
  }
}
