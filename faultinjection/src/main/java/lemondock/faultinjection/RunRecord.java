package lemondock.faultinjection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * All that truly happened in a run, told by clients, servers, discovery and whoever sends signals.
 * Thread-safe.
 */
final class RunRecord {
  final Map<String, ClientCall> calls = new ConcurrentHashMap<>();
  final ConcurrentLinkedQueue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
  final ConcurrentLinkedQueue<Release> releases = new ConcurrentLinkedQueue<>();
  final ConcurrentLinkedQueue<Start> starts = new ConcurrentLinkedQueue<>();

  /** Calls a second that each server answers when warm. */
  final Map<String, Double> capacities = new ConcurrentHashMap<>();

  final ConcurrentLinkedQueue<Told> told = new ConcurrentLinkedQueue<>();
  final List<Life> lives = new CopyOnWriteArrayList<>();
  final ReservedStateTable states = new ReservedStateTable();
  final MachineStalls stalls = new MachineStalls();
  final long origin = MonotonicClock.now();

  /** Whether a call may run more than once. */
  enum Effect {
    SAFE,
    ONCE
  }

  /** What became of a call as its client saw it. */
  enum Outcome {
    /** Not known yet. */
    OPEN,
    /** A whole stream. */
    SERVED,
    /** 429 or 503. */
    REFUSED,
    /** Any other status. */
    FAILED,
    /** A stream that broke off. */
    BROKEN,
    /** A stream with its last chunk that is not whole. */
    CUT_SHORT,
    /** The connection ended with no answer. */
    UNANSWERED,
    /** The client left. */
    LEFT,
    /**
     * The last byte was never written, or on a resting connection that had been closed: it was sent
     * once more.
     */
    NOT_TAKEN
  }

  /** A client's request. Written by its client's thread only. */
  static final class ClientCall {
    final String id;
    final String gateway;
    final Effect effect;
    final long deadlineMicros;
    volatile long sentAt;
    volatile long endedAt;
    volatile long leftAt;
    volatile boolean fresh;
    volatile long restedMicros;
    volatile int status;
    volatile Outcome outcome = Outcome.OPEN;

    ClientCall(String id, String gateway, Effect effect, long deadlineMicros) {
      this.id = id;
      this.gateway = gateway;
      this.effect = effect;
      this.deadlineMicros = deadlineMicros;
    }
  }

  /** What became of an attempt at its server. */
  enum Fate {
    UNDER_WAY,
    READ,
    RAN,
    NOT_RUN,
    FAILED,
    DROPPED
  }

  /** A call that has reached a running server with its last byte. */
  static final class Arrival {
    final String id;
    final String server;
    final boolean reads;
    final long firstByteAt;
    final long arrivedAt;
    final long toldMillis;
    volatile Fate fate = Fate.UNDER_WAY;
    volatile boolean streamedWhole;
    volatile long streamedAt;

    Arrival(
        String id,
        String server,
        boolean reads,
        long firstByteAt,
        long arrivedAt,
        long toldMillis) {
      this.id = id;
      this.server = server;
      this.reads = reads;
      this.firstByteAt = firstByteAt;
      this.arrivedAt = arrivedAt;
      this.toldMillis = toldMillis;
    }
  }

  /** A release that has reached a running server. */
  record Release(String id, String server, long at) {}

  /** A new process of a server began. */
  record Start(String server, long at) {}

  /** Discovery has written to a gateway that a server drains, is gone, or has started. */
  record Told(String gateway, String server, String state, long at) {}

  /**
   * One process of a gateway, from its start to its end; times of signals are 0 if there was none.
   */
  static final class Life {
    final String gateway;
    final long startedAt;
    volatile long readyAt;
    volatile long terminatedAt;
    volatile long killedAt;
    volatile long endedAt;
    volatile int exitCode;

    Life(String gateway, long startedAt) {
      this.gateway = gateway;
      this.startedAt = startedAt;
    }

    boolean covers(long at) {
      return at >= startedAt && (endedAt == 0 || at <= endedAt);
    }

    /** Whether the process was killed without notice. */
    boolean crashedOnPurpose() {
      return killedAt > 0 && terminatedAt == 0;
    }
  }

  /** The process of a gateway at that moment; null if there was none. */
  Life life(String gateway, long at) {
    return lives.stream()
        .filter(life -> life.gateway.equals(gateway) && life.covers(at))
        .findFirst()
        .orElse(null);
  }

  /** A moment as seconds of the run. */
  String time(long at) {
    return String.format("%.3f", (at - origin) / 1e6);
  }
}
