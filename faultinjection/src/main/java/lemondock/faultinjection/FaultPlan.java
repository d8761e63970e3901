package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** What befalls a fleet in one run, drawn from a seed. */
record FaultPlan(FleetShape shape, boolean crowd, boolean termination, List<Step> steps) {
  private static final long FIRST_AT = 800 * MonotonicClock.MILLI;
  private static final long LAST_AT = 8_000 * MonotonicClock.MILLI;
  private static final long SHORTEST = 300 * MonotonicClock.MILLI;
  private static final long LONGEST = 3_500 * MonotonicClock.MILLI;
  private static final double CROWD_SHARE = 0.25;

  /** One fault. */
  enum Kind {
    /** Most servers of one role fall silent together; what was sent arrives late or never. */
    SILENT_WRITERS,
    SILENT_READERS,
    /** A gateway's zone is cut from the other zones. */
    ZONE_CUT,
    /** Some links carry bytes one way only. */
    ANSWERS_HELD,
    REQUESTS_HELD,
    /**
     * Some links are reset again and again, slow, refuse connections, or let them come up without a
     * far side.
     */
    RESETS,
    SLOW_LINKS,
    REFUSED,
    HALF_OPEN,
    /** Some servers hang, die and come back cold, or are told to drain. */
    SERVERS_HANG,
    SERVER_RESTARTS,
    SERVERS_DRAIN,
    /** Discovery says nothing, or resets its connections. */
    DISCOVERY_SILENT,
    DISCOVERY_RESET,
    /** Signals to a gateway: SIGTERM and SIGKILL, SIGKILL alone, SIGSTOP for a moment, SIGHUP. */
    GATEWAY_TERMINATED,
    GATEWAY_KILLED,
    GATEWAY_FREEZES,
    GATEWAY_RELOADS,
    /** The wall clock steps; system calls fail; reads and writes are interrupted and short. */
    CLOCK_STEP,
    CALLS_FAIL,
    CALLS_INTERRUPTED
  }

  /** A fault, when it begins and how long it lasts (microseconds from the start of the load). */
  record Step(Kind kind, long at, long lasting, long seed) {
    @Override
    public String toString() {
      return String.format("%s %.1f+%.1f", kind, at / 1e6, lasting / 1e6);
    }
  }

  /** Draws the plan of that seed. */
  static FaultPlan draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long release = random.nextBoolean() ? 500 : 300;
    FleetShape shape =
        new FleetShape(
            2 + random.nextInt(2),
            3 + random.nextInt(3),
            4 + random.nextInt(3),
            release,
            2_000 + 500L * random.nextInt(4),
            6 + random.nextInt(5),
            random.nextBoolean() ? 15_000 : 3_000,
            250);
    List<Step> steps = new ArrayList<>();
    Kind[] kinds = Kind.values();
    for (int i = 2 + random.nextInt(5); i > 0; i--) {
      steps.add(
          new Step(
              kinds[random.nextInt(kinds.length)],
              FIRST_AT + random.nextLong(LAST_AT - FIRST_AT),
              SHORTEST + random.nextLong(LONGEST - SHORTEST),
              random.nextLong()));
    }
    steps.sort(Comparator.comparingLong(Step::at));
    return new FaultPlan(shape, random.nextDouble() < CROWD_SHARE, random.nextBoolean(), steps);
  }
}
