package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondock.faultinjection.RunRecord.Arrival;
import lemondock.faultinjection.RunRecord.ClientCall;
import lemondock.faultinjection.RunRecord.Effect;
import lemondock.faultinjection.RunRecord.Fate;
import lemondock.faultinjection.RunRecord.Life;
import lemondock.faultinjection.RunRecord.Outcome;

/**
 * Judges a run by what truly happened: the five rules, the deadline told to servers, attempts for
 * clients that have gone, crashes.
 */
final class SoakAuditor {
  /** What the platform grants beyond the settings' limit on what is held. */
  private static final long HELD_SLACK = 300 * MonotonicClock.MILLI;

  private static final long LEFT_SLACK = 100 * MonotonicClock.MILLI;
  private static final long DEADLINE_SLACK_MILLIS = 150;
  private static final long RULE_SLACK = 50 * MonotonicClock.MILLI;

  /**
   * The clients' own lateness on a busy machine, on top of the half second that a final answer may
   * be late.
   */
  private static final long LATE_SLACK = 500 * MonotonicClock.MILLI;

  /** How long a link must have been well for what comes over it to be judged by its time. */
  private static final long CLEAN = 1_000 * MonotonicClock.MILLI;

  private static final int SMALL = 30;

  private final RunRecord truth;
  private final FleetShape shape;
  private final Links links;
  private final List<Breach> breaches = new ArrayList<>();
  private final Map<String, List<Arrival>> arrivalsById = new HashMap<>();

  /** Tells whether the link from a gateway to a server was well between two moments. */
  interface Links {
    boolean clean(String gateway, String server, long from, long until);
  }

  /** A rule that a run must keep. */
  enum Rule {
    LOST,
    DUPLICATE,
    DRAIN,
    SLOW_START,
    HELD,
    DEADLINE_TOLD,
    BEGUN_AFTER_LEAVING,
    CRASH
  }

  /** A rule that was broken, and how. */
  record Breach(Rule rule, String what) {}

  SoakAuditor(RunRecord truth, FleetShape shape, Links links) {
    this.truth = truth;
    this.shape = shape;
    this.links = links;
    truth.arrivals.forEach(
        arrival -> arrivalsById.computeIfAbsent(arrival.id, k -> new ArrayList<>()).add(arrival));
    arrivalsById
        .values()
        .forEach(each -> each.sort(Comparator.comparingLong(arrival -> arrival.arrivedAt)));
  }

  /** All breaches of the run. */
  List<Breach> audit() {
    truth
        .calls
        .values()
        .forEach(
            call -> {
              finalAnswer(call);
              effects(call);
              attempts(call);
            });
    drains();
    slowStarts();
    held();
    crashes();
    return breaches;
  }

  private void breach(Rule rule, String what) {
    breaches.add(new Breach(rule, what));
  }

  /** Whether the link was well for so long that what arrived came when the gateway sent it. */
  private boolean timely(ClientCall call, Arrival arrival) {
    return links.clean(
        call.gateway, arrival.server, arrival.firstByteAt - CLEAN, arrival.firstByteAt);
  }

  private String text(ClientCall call) {
    return call.id
        + " ("
        + call.effect
        + ", "
        + call.gateway
        + ", sent "
        + truth.time(call.sentAt)
        + ", may wait "
        + call.deadlineMicros / 1_000
        + " ms, "
        + call.outcome
        + " "
        + call.status
        + " "
        + truth.time(call.endedAt)
        + ")";
  }

  private List<Arrival> arrivals(ClientCall call) {
    return arrivalsById.getOrDefault(call.id, List.of());
  }

  // ==== one final answer in time

  private void finalAnswer(ClientCall call) {
    Life life = truth.life(call.gateway, call.sentAt);
    boolean excused =
        life == null || life.crashedOnPurpose() && call.endedAt >= life.killedAt - RULE_SLACK;
    if (excused || call.outcome == Outcome.LEFT) {
      return;
    }
    long late =
        call.endedAt
            - call.sentAt
            - call.deadlineMicros
            - truth.stalls.lost(call.sentAt, call.endedAt);
    switch (call.outcome) {
      case OPEN -> {
        if (truth.stalls.lost(call.sentAt, call.endedAt) == 0) {
          breach(Rule.LOST, "no final answer: " + text(call));
        }
      }
      case UNANSWERED -> breach(Rule.LOST, "closed with no answer: " + text(call));
      case CUT_SHORT -> breach(Rule.LOST, "ended as if it were whole: " + text(call));
      case NOT_TAKEN -> {
        if (!arrivals(call).isEmpty()) {
          breach(Rule.LOST, "forwarded, then closed with no answer: " + text(call));
        }
      }
      case BROKEN -> broken(call);
      case REFUSED, FAILED -> {
        if (late > LATE_SLACK) {
          breach(Rule.LOST, "answered " + late / 1_000 + " ms late: " + text(call));
        }
      }
      default -> {}
    }
  }

  /**
   * A stream that its server finished, over a link that was well, has to reach its client whole.
   */
  private void broken(ClientCall call) {
    for (Arrival arrival : arrivals(call)) {
      if (arrival.streamedWhole
          && links.clean(call.gateway, arrival.server, arrival.firstByteAt - CLEAN, call.endedAt)) {
        breach(
            Rule.LOST,
            "a stream that "
                + arrival.server
                + " finished at "
                + truth.time(arrival.streamedAt)
                + " was cut: "
                + text(call));
      }
    }
  }

  // ==== no effect twice

  private void effects(ClientCall call) {
    if (call.effect == Effect.SAFE) {
      return;
    }
    List<Arrival> ran =
        arrivals(call).stream()
            .filter(arrival -> !arrival.reads && arrival.fate == Fate.RAN)
            .toList();
    if (ran.size() > 1) {
      breach(Rule.DUPLICATE, "ran " + ran.size() + " times: " + text(call));
    }
    if (!ran.isEmpty() && call.outcome == Outcome.REFUSED) {
      breach(Rule.DUPLICATE, "refused though it ran at " + ran.get(0).server + ": " + text(call));
    }
  }

  // ==== each attempt

  private void attempts(ClientCall call) {
    for (Arrival arrival : arrivals(call)) {
      if (!timely(call, arrival)) {
        continue;
      }
      long leftMillis =
          (call.sentAt + call.deadlineMicros - arrival.firstByteAt) / MonotonicClock.MILLI;
      long lost = truth.stalls.lost(call.sentAt, arrival.firstByteAt);
      if (arrival.toldMillis > leftMillis + DEADLINE_SLACK_MILLIS + lost / MonotonicClock.MILLI) {
        breach(
            Rule.DEADLINE_TOLD,
            arrival.server
                + " was told "
                + arrival.toldMillis
                + " ms with "
                + leftMillis
                + " left: "
                + text(call));
      }
      if (call.leftAt > 0 && arrival.firstByteAt > call.leftAt + LEFT_SLACK + lost) {
        breach(
            Rule.BEGUN_AFTER_LEAVING,
            "begun at "
                + arrival.server
                + " "
                + truth.time(arrival.firstByteAt)
                + ", its client left "
                + truth.time(call.leftAt)
                + ": "
                + text(call));
      }
      if (call.leftAt == 0
          && call.outcome != Outcome.OPEN
          && arrival.firstByteAt > call.endedAt + LEFT_SLACK + lost) {
        breach(
            Rule.LOST,
            "begun at "
                + arrival.server
                + " "
                + truth.time(arrival.firstByteAt)
                + " after its final answer: "
                + text(call));
      }
    }
  }

  // ==== nothing new to draining or gone servers

  private void drains() {
    for (RunRecord.Told told : truth.told) {
      if (told.state().equals("ready")) {
        continue;
      }
      long until =
          truth.told.stream()
              .filter(
                  next ->
                      next.gateway().equals(told.gateway())
                          && next.server().equals(told.server())
                          && next.at() > told.at()
                          && next.state().equals("ready"))
              .mapToLong(RunRecord.Told::at)
              .min()
              .orElse(Long.MAX_VALUE);
      long from = told.at() + shape.drainGraceMs() * MonotonicClock.MILLI + RULE_SLACK;
      for (Arrival arrival : truth.arrivals) {
        ClientCall call = truth.calls.get(arrival.id);
        if (arrival.server.equals(told.server())
            && arrival.firstByteAt > from
            && arrival.firstByteAt < until
            && call != null
            && call.gateway.equals(told.gateway())
            && timely(call, arrival)) {
          breach(
              Rule.DRAIN,
              arrival.server
                  + " got an attempt at "
                  + truth.time(arrival.firstByteAt)
                  + ", told "
                  + told.state()
                  + " at "
                  + truth.time(told.at())
                  + ": "
                  + text(call));
        }
      }
    }
  }

  // ==== cold servers are not pushed over

  private void slowStarts() {
    for (String server : truth.told.stream().map(RunRecord.Told::server).distinct().toList()) {
      List<Long> starts =
          truth.starts.stream()
              .filter(start -> start.server().equals(server))
              .map(RunRecord.Start::at)
              .toList();
      starts.forEach(start -> slowStart(server, start));
    }
  }

  /**
   * By the mean rate of the role's other servers: N calls of the window, and the platform's slack
   * for chance.
   */
  private void slowStart(String server, long start) {
    long warmUp = FleetShape.WARM_UP_MS * MonotonicClock.MILLI;
    long window = FleetShape.OVERLOAD_WINDOW_MS * MonotonicClock.MILLI;
    List<Long> got =
        truth.arrivals.stream()
            .filter(
                arrival ->
                    arrival.server.equals(server)
                        && arrival.arrivedAt >= start
                        && arrival.arrivedAt <= start + warmUp)
            .map(arrival -> arrival.arrivedAt)
            .sorted()
            .toList();
    for (int i = 0; i < got.size(); i++) {
      long begin = got.get(i);
      long calls = got.stream().filter(at -> at >= begin && at < begin + window).count();
      double part = FleetShape.COLD_SHARE + (1 - FleetShape.COLD_SHARE) * (begin - start) / warmUp;
      double allowed = FleetShape.OVERLOAD_FACTOR * part * warmCapacity(server);
      double slack = allowed < SMALL ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
      if (calls > allowed + slack) {
        breach(
            Rule.SLOW_START,
            server
                + ", started "
                + truth.time(start)
                + ", got "
                + calls
                + " calls from "
                + truth.time(begin)
                + " on, "
                + Math.round(allowed + slack)
                + " are allowed");
        return;
      }
    }
  }

  private double warmCapacity(String server) {
    return truth.capacities.getOrDefault(server, 0.0) * FleetShape.OVERLOAD_WINDOW_MS / 1_000;
  }

  // ==== what is held is taken or released in time

  private void held() {
    long limit = shape.releaseWithinMs() * MonotonicClock.MILLI + HELD_SLACK;
    for (ReservedStateTable.Span span : truth.states.spans()) {
      ClientCall call = truth.calls.get(span.id());
      if (call == null
          || span.until() - span.from() <= limit + truth.stalls.lost(span.from(), span.until())) {
        continue;
      }
      Life life = truth.life(call.gateway, call.sentAt);
      if (life != null && life.crashedOnPurpose() && life.killedAt < span.from() + limit) {
        continue;
      }
      breach(
          Rule.HELD,
          "at "
              + span.server()
              + " for "
              + (span.until() - span.from()) / 1_000
              + " ms from "
              + truth.time(span.from())
              + " ("
              + span.end()
              + "): "
              + text(call)
              + trail(call));
    }
  }

  private String trail(ClientCall call) {
    StringBuilder trail = new StringBuilder();
    for (Arrival arrival : arrivals(call)) {
      trail
          .append("; ")
          .append(arrival.reads ? "read " : "write ")
          .append(arrival.server)
          .append(' ')
          .append(truth.time(arrival.arrivedAt))
          .append(' ')
          .append(arrival.fate);
    }
    truth.releases.stream()
        .filter(release -> release.id().equals(call.id))
        .forEach(
            release ->
                trail
                    .append("; release ")
                    .append(release.server())
                    .append(' ')
                    .append(truth.time(release.at())));
    return trail.toString();
  }

  private void crashes() {
    for (Life life : truth.lives) {
      if (life.endedAt > 0
          && life.killedAt == 0
          && (life.terminatedAt == 0 || life.exitCode != 0)) {
        breach(
            Rule.CRASH,
            life.gateway + " ended at " + truth.time(life.endedAt) + " with " + life.exitCode);
      }
    }
  }
}
