package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The KV-cache states that readers hold reserved for requests, as the servers observe them, and the
 * idle periods in which no write waited for such a state. Thread-safe.
 */
final class ReservedStateTable {
  private final Map<String, List<ReservedState>> statesByRequest = new HashMap<>();
  private final List<IdlePeriod> idlePeriods = new ArrayList<>();

  /** How an idle period ended. */
  enum End {
    /** A write arrived for the state. */
    TAKEN,
    RELEASED,
    SERVER_DIED,
    /** It has not ended: the state is still reserved. */
    LEFT
  }

  /** A period in which a state was reserved and no write waited for it. */
  record IdlePeriod(String requestId, String serverId, long fromMicros, long untilMicros, End end) {
    long durationMicros() {
      return untilMicros - fromMicros;
    }
  }

  private static final class ReservedState {
    private final String requestId;
    private final String serverId;
    private long idleSinceMicros;
    private int waitingWrites;

    ReservedState(String requestId, String serverId) {
      this.requestId = requestId;
      this.serverId = serverId;
      this.idleSinceMicros = MonotonicClock.nowMicros();
    }

    boolean isIdle() {
      return waitingWrites == 0;
    }

    IdlePeriod idlePeriod(End end) {
      return new IdlePeriod(requestId, serverId, idleSinceMicros, MonotonicClock.nowMicros(), end);
    }
  }

  /** Records that a read (prefill) has ended and reserves its state at a server. */
  synchronized void reserve(String requestId, String serverId) {
    statesByRequest
        .computeIfAbsent(requestId, absent -> new ArrayList<>())
        .add(new ReservedState(requestId, serverId));
  }

  /** Records that a write arrived for the request's newest state; returns false if it has none. */
  synchronized boolean beginWrite(String requestId) {
    List<ReservedState> states = statesByRequest.get(requestId);
    if (states == null) {
      return false;
    }
    ReservedState newest = newest(states);
    if (newest.isIdle()) {
      idlePeriods.add(newest.idlePeriod(End.TAKEN));
    }
    newest.waitingWrites++;
    return true;
  }

  /** Records that a waiting write has ended without taking the state. */
  synchronized void abandonWrite(String requestId) {
    List<ReservedState> states = statesByRequest.get(requestId);
    if (states == null) {
      return;
    }
    ReservedState newest = newest(states);
    newest.waitingWrites = Math.max(0, newest.waitingWrites - 1);
    if (newest.isIdle()) {
      newest.idleSinceMicros = MonotonicClock.nowMicros();
    }
  }

  /**
   * Records that a write takes the state, which also ends all other states of the request; returns
   * false if the request has no state left.
   */
  synchronized boolean take(String requestId) {
    List<ReservedState> states = statesByRequest.remove(requestId);
    if (states == null) {
      return false;
    }
    states.forEach(state -> endIdlePeriod(state, End.TAKEN));
    return true;
  }

  /** Releases all states of the request for which no write waits. */
  synchronized void release(String requestId) {
    statesByRequest.computeIfPresent(
        requestId,
        (id, states) -> {
          states.stream()
              .filter(ReservedState::isIdle)
              .forEach(state -> endIdlePeriod(state, End.RELEASED));
          states.removeIf(ReservedState::isIdle);
          return states.isEmpty() ? null : states;
        });
  }

  /** Records that a server's process has ended and lost all states that it had reserved. */
  synchronized void recordServerCrash(String serverId) {
    for (List<ReservedState> states : statesByRequest.values()) {
      states.stream()
          .filter(state -> state.serverId.equals(serverId))
          .forEach(state -> endIdlePeriod(state, End.SERVER_DIED));
      states.removeIf(state -> state.serverId.equals(serverId));
    }
    statesByRequest.values().removeIf(List::isEmpty);
  }

  /** All idle periods so far; those of states that are still reserved and idle end now. */
  synchronized List<IdlePeriod> idlePeriods() {
    List<IdlePeriod> periods = new ArrayList<>(idlePeriods);
    statesByRequest.values().stream()
        .flatMap(List::stream)
        .filter(ReservedState::isIdle)
        .forEach(state -> periods.add(state.idlePeriod(End.LEFT)));
    return periods;
  }

  private void endIdlePeriod(ReservedState state, End end) {
    if (state.isIdle()) {
      idlePeriods.add(state.idlePeriod(end));
    }
  }

  private static ReservedState newest(List<ReservedState> states) {
    return states.get(states.size() - 1);
  }
}
