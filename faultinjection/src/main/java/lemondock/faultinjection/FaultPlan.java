package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The fleet of one run and the faults injected into it, drawn from a seed.
 *
 * @param crowd whether each gateway has several times its usual number of clients
 * @param steps the faults in the order in which they begin
 * @param termination how the run ends
 */
record FaultPlan(FleetShape shape, boolean crowd, List<Step> steps, TerminationPlan termination) {
  private static final long EARLIEST_BEGIN_MICROS = TimeUnit.MILLISECONDS.toMicros(800);
  private static final long LATEST_BEGIN_MICROS = TimeUnit.MILLISECONDS.toMicros(8_000);
  private static final long MIN_DURATION_MICROS = TimeUnit.MILLISECONDS.toMicros(300);
  private static final long MAX_DURATION_MICROS = TimeUnit.MILLISECONDS.toMicros(3_500);
  private static final double CROWD_PROBABILITY = 0.25;
  private static final double MICROS_PER_SECOND = 1e6;
  private static final long DRAIN_GRACE_MILLIS = 250;
  private static final List<Long> SHORT_DEADLINES_MILLIS = List.of(700L, 1_000L, 1_500L);
  private static final long MAX_KILL_DELAY_MILLIS = 3_000;
  private static final int MIN_PAUSES = 1;
  private static final int PAUSES_RANGE = 3;

  /**
   * One fault of a plan.
   *
   * @param beginMicros time from the start of the load phase
   * @param seed for the choices that the kind leaves open, such as the affected links
   */
  record Step(FaultKind kind, long beginMicros, long durationMicros, long seed) {
    @Override
    public String toString() {
      return String.format(
          "%s %.1f+%.1f",
          kind, beginMicros / MICROS_PER_SECOND, durationMicros / MICROS_PER_SECOND);
    }
  }

  /**
   * Draws the plan of a seed. A plan depends on its seed alone, so the order of the random draws is
   * fixed.
   */
  static FaultPlan draw(long seed) {
    return draw(new SplittableRandom(seed));
  }

  private static FaultPlan draw(SplittableRandom random) {
    FleetShape shape = drawShape(random);
    List<Step> steps = drawSteps(random);
    boolean crowd = random.nextDouble() < CROWD_PROBABILITY;
    boolean termination = random.nextBoolean();
    return new FaultPlan(shape, crowd, steps, TerminationPlan.plain(termination));
  }

  /**
   * Draws the same plan as {@link #draw}, except that all gateways are always terminated at the
   * end, by a series of signals.
   */
  static FaultPlan drawWithSignals(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultPlan plan = draw(random);
    TerminationPlan termination = TerminationPlan.of(SignalSeries.draw(random));
    return new FaultPlan(plan.shape, plan.crowd, plan.steps, termination);
  }

  /**
   * Draws the same plan as {@link #drawWithSignals}, except that the writers stream at a pace of
   * the run, half of the runs have shorter deadlines, servers pause while the gateways are
   * terminated, and SIGKILL comes later than it may in half of the runs.
   */
  static FaultPlan drawWithStreams(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    FaultPlan plan = draw(random);
    SignalSeries signals = SignalSeries.draw(random);
    StreamPace pace = StreamPace.draw(random);
    long deadlineMillis =
        random.nextBoolean()
            ? SHORT_DEADLINES_MILLIS.get(random.nextInt(SHORT_DEADLINES_MILLIS.size()))
            : plan.shape.deadlineMs();
    FleetShape shape = plan.shape.with(deadlineMillis, pace);
    long killDelayMillis = random.nextBoolean() ? 0 : random.nextLong(MAX_KILL_DELAY_MILLIS);
    List<ServerPause> pauses = new ArrayList<>();
    int pauseCount = MIN_PAUSES + random.nextInt(PAUSES_RANGE);
    for (int i = 0; i < pauseCount; i++) {
      pauses.add(ServerPause.draw(random, shape.killAfterMs()));
    }
    return new FaultPlan(
        shape,
        plan.crowd,
        plan.steps,
        new TerminationPlan(true, Optional.of(signals), killDelayMillis, pauses));
  }

  private static FleetShape drawShape(SplittableRandom random) {
    long releaseWithinMillis = random.nextBoolean() ? 500 : 300;
    int gateways = 2 + random.nextInt(2);
    int readers = 3 + random.nextInt(3);
    int writers = 4 + random.nextInt(3);
    long deadlineMillis = 2_000 + 500L * random.nextInt(4);
    int clientsPerGateway = 6 + random.nextInt(5);
    long idleMillis = random.nextBoolean() ? 15_000 : 3_000;
    return new FleetShape(
        gateways,
        readers,
        writers,
        releaseWithinMillis,
        deadlineMillis,
        clientsPerGateway,
        idleMillis,
        DRAIN_GRACE_MILLIS);
  }

  private static List<Step> drawSteps(SplittableRandom random) {
    List<Step> steps = new ArrayList<>();
    int count = 2 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      steps.add(drawStep(random));
    }
    steps.sort(Comparator.comparingLong(Step::beginMicros));
    return steps;
  }

  private static Step drawStep(SplittableRandom random) {
    FaultKind[] kinds = FaultKind.values();
    FaultKind kind = kinds[random.nextInt(kinds.length)];
    long beginMicros =
        EARLIEST_BEGIN_MICROS + random.nextLong(LATEST_BEGIN_MICROS - EARLIEST_BEGIN_MICROS);
    long durationMicros =
        MIN_DURATION_MICROS + random.nextLong(MAX_DURATION_MICROS - MIN_DURATION_MICROS);
    return new Step(kind, beginMicros, durationMicros, random.nextLong());
  }
}
