package lemondock.overload;

import java.util.Arrays;

/**
 * Admission control for a gateway that is itself overloaded. Its first sign of overload is the
 * queueing delay of work, for the decision context or for the thread of a shard: when even the
 * shortest delay of an interval is above the target, work arrives faster than it is done (Nichols
 * and Jacobson, "Controlling Queue Delay", 2012); a single long delay says nothing. How fast the
 * delay grows tells by how much: the admitted share falls to what can be done, less what works off
 * the queue, and rises again slowly at first, then fast. Which requests make up the share goes by
 * priority, not by order of arrival, with a threshold over the priorities seen lately (as WeChat's
 * DAGOR: Zhou et al., SoCC 2018), so a request of lower priority is rejected before one of higher
 * priority. Retries are admitted within a {@link RetryBudget} while the share is reduced. Shortage
 * of memory and file handles is told by a {@link ResourcePressure}, whose share is a factor on this
 * one.
 *
 * <p>No clock, no I/O. One thread decides; {@link Gate} is an immutable snapshot of the decision
 * that any thread may ask.
 */
public final class Admission {
  private static final int RECENT_PRIORITIES = 512;
  private static final double GROWTH_ACCELERATION = 1.2;
  private static final double MAX_GROWTH = 0.5;
  private static final double MIN_LOAD = 0.2;
  private static final double MAX_DRAIN_PART = 0.8;

  /** Weight of the latency objective in a priority: it only orders requests of equal weight. */
  private static final double URGENCY_WEIGHT = 1e-3;

  private static final double MICROS_PER_SECOND = 1e6;

  /** The base Retry-After grows by one part in so many of the time that the overload lasts. */
  private static final int OVERLOAD_PER_RETRY_AFTER = 4;

  private static final int RELAXED_PART_OF_TARGET = 4;

  private final Settings settings;
  private final RetryBudget retryBudget;

  /** Ring buffer of the priorities of the requests that arrived last. */
  private final double[] recentPriorities = new double[RECENT_PRIORITIES];

  private int recentCount;
  private int nextRecent;

  /** Shortest completed delay of each queue in this interval; MAX_VALUE if none completed. */
  private final long[] shortestDelays;

  /** Latest reported delay of work that still waits, by queue; 0 if none was reported. */
  private final long[] ongoingDelays;

  private long intervalStart = Long.MIN_VALUE;
  private long lastDelay;
  private double delayShare = 1;
  private double resourceShare = 1;
  private double retryShare = 1;
  private double growth;
  private long overloadedSince;

  /** Written by the deciding thread, read by any. */
  private volatile Gate gate = Gate.OPEN;

  /**
   * Parameters; times in microseconds.
   *
   * @param targetDelayMicros queueing delay that is still good
   * @param intervalMicros over which the shortest delay is taken
   * @param drainMicros time in which a delay above the target is to be worked off
   * @param growthStep part of itself by which the share grows after a good interval; a fifth more
   *     after each further one
   * @param minShare share that is admitted in any overload: without any traffic, nothing would show
   *     that the overload has ended
   * @param minRetryAfterMicros lower bound of the base Retry-After, which grows with the duration
   *     of the overload
   * @param maxRetryAfterMicros upper bound of the base Retry-After
   * @param retryBudget how many retries may be admitted for new calls
   */
  public record Settings(
      long targetDelayMicros,
      long intervalMicros,
      long drainMicros,
      double growthStep,
      double minShare,
      long minRetryAfterMicros,
      long maxRetryAfterMicros,
      RetryBudget.Settings retryBudget) {}

  /**
   * What is admitted now. Requests with a priority above the threshold are admitted, those at it by
   * chance, those below it are rejected. A retry is first checked against the share of retries.
   *
   * @param threshold priority
   * @param shareAtThreshold share of the requests at the threshold that is admitted
   * @param retryShare share of retries that is within the retry budget
   * @param newSessionShare share of new sessions that is admitted
   * @param baseRetryAfterMicros base of the Retry-After of rejected requests
   */
  public record Gate(
      double threshold,
      double shareAtThreshold,
      double retryShare,
      double newSessionShare,
      long baseRetryAfterMicros) {
    /** Admits everything. */
    public static final Gate OPEN = new Gate(Double.NEGATIVE_INFINITY, 1, 1, 1, 0);

    /** Whether a request of that priority is admitted; {@code random} is drawn from [0, 1). */
    public boolean admits(double priority, double random) {
      return priority > threshold || priority == threshold && random < shareAtThreshold;
    }

    /** Whether a retry is within the budget; {@code random} is drawn from [0, 1). */
    public boolean admitsRetry(double random) {
      return random < retryShare;
    }

    /**
     * Whether a new session is admitted; {@code random} is drawn from [0, 1). It has no priority
     * yet, and its calls come on top of those that are rejected.
     */
    public boolean admitsNewSession(double random) {
      return random < newSessionShare;
    }

    /**
     * Retry-After in microseconds, from half of the base up to twice the base, so that clients that
     * were rejected together do not return together; {@code random} is drawn from [0, 1).
     */
    public long retryAfterMicros(double random) {
      return (long) (baseRetryAfterMicros * (0.5 + 1.5 * random));
    }
  }

  /** Makes one that admits everything and takes delays of so many queues. */
  public Admission(Settings settings, int queues) {
    this.shortestDelays = new long[queues];
    Arrays.fill(shortestDelays, Long.MAX_VALUE);
    this.ongoingDelays = new long[queues];
    this.settings = settings;
    this.growth = settings.growthStep();
    this.retryBudget = new RetryBudget(settings.retryBudget());
  }

  /**
   * The priority of a request: the weight of its class, and among equal weights the shorter latency
   * objective first.
   *
   * @param weight priority weight of its class
   * @param latencyObjectiveMicros time within which the first token is wanted
   */
  public static double priority(double weight, long latencyObjectiveMicros) {
    return weight + URGENCY_WEIGHT / (1 + latencyObjectiveMicros / MICROS_PER_SECOND);
  }

  /** A request arrived, whether it is admitted or not. */
  public void recordArrival(double priority, boolean retry) {
    retryBudget.recordArrival(retry);
    recentPriorities[nextRecent] = priority;
    nextRecent = (nextRecent + 1) % RECENT_PRIORITIES;
    recentCount = Math.min(RECENT_PRIORITIES, recentCount + 1);
  }

  /** A piece of work has left the queue of that index after so long in it. */
  public void recordDelay(long nowMicros, int queue, long delayMicros) {
    shortestDelays[queue] = Math.min(shortestDelays[queue], delayMicros);
    if (intervalStart == Long.MIN_VALUE) {
      intervalStart = nowMicros;
    } else if (nowMicros - intervalStart >= settings.intervalMicros()) {
      endInterval(nowMicros);
    }
  }

  /**
   * A piece of work has been in that queue for so long and still is. That is only a lower bound of
   * its delay, so it counts only if no delay of the queue completed in the interval.
   */
  public void recordOngoingDelay(int queue, long delayMicros) {
    ongoingDelays[queue] = delayMicros;
  }

  private void endInterval(long nowMicros) {
    final double before = delayShare;
    long delay = takeWorstDelay();
    if (delay <= settings.targetDelayMicros()) {
      delayShare = Math.min(1, delayShare * (1 + growth));
      growth = Math.min(MAX_GROWTH, growth * GROWTH_ACCELERATION);
    } else {
      reduceShare(nowMicros, delay);
    }
    lastDelay = delay;
    intervalStart = nowMicros;
    retryShare =
        retryBudget.admittedShare(
            nowMicros); // also while all is admitted, so that old counts decay
    if (delayShare != before || delayShare < 1 || resourceShare < 1) {
      updateGate(nowMicros);
    }
  }

  /** The worst of the queues counts: whatever has to pass all of them waits there. */
  private long takeWorstDelay() {
    long worst = 0;
    for (int i = 0; i < shortestDelays.length; i++) {
      boolean completed = shortestDelays[i] != Long.MAX_VALUE;
      worst = Math.max(worst, completed ? shortestDelays[i] : ongoingDelays[i]);
      shortestDelays[i] = Long.MAX_VALUE;
      ongoingDelays[i] = 0;
    }
    return worst;
  }

  /** Falls to what can be done, less what drains the queue. */
  private void reduceShare(long nowMicros, long delayMicros) {
    double load =
        Math.max(MIN_LOAD, 1 + (double) (delayMicros - lastDelay) / (nowMicros - intervalStart));
    double drainPart =
        Math.min(
            MAX_DRAIN_PART,
            (double) (delayMicros - settings.targetDelayMicros()) / settings.drainMicros());
    overloadedSince = delayShare == 1 ? nowMicros : overloadedSince;
    delayShare = Math.max(settings.minShare(), Math.min(1, delayShare / load * (1 - drainPart)));
    growth = settings.growthStep();
  }

  /** Memory and file handles allow this share at most, from 0 (nothing) to 1 (everything). */
  public void limitByResources(long nowMicros, double maxShare) {
    if (maxShare != resourceShare) {
      overloadedSince = resourceShare == 1 && delayShare == 1 ? nowMicros : overloadedSince;
      resourceShare = maxShare;
      updateGate(nowMicros);
    }
  }

  private void updateGate(long nowMicros) {
    gate = admittedShare() == 1 ? Gate.OPEN : reducedGate(nowMicros);
  }

  private Gate reducedGate(long nowMicros) {
    long retryAfter =
        Math.min(
            settings.maxRetryAfterMicros(),
            settings.minRetryAfterMicros()
                + (nowMicros - overloadedSince) / OVERLOAD_PER_RETRY_AFTER);
    if (admittedShare() == 0) {
      return new Gate(Double.POSITIVE_INFINITY, 0, 0, 0, retryAfter);
    }
    if (recentCount == 0) {
      return new Gate(Double.NEGATIVE_INFINITY, 1, retryShare, admittedShare(), retryAfter);
    }
    return gateByRecentPriorities(retryAfter);
  }

  /** Sets the threshold so that the admitted share of the recent requests lies above it. */
  private Gate gateByRecentPriorities(long retryAfter) {
    double[] sorted = Arrays.copyOf(recentPriorities, recentCount);
    Arrays.sort(sorted);
    double wanted = admittedShare() * recentCount;
    int index = (int) Math.min(recentCount - 1, Math.max(0, Math.floor(recentCount - wanted)));
    double threshold = sorted[index];
    int above = 0;
    int at = 0;
    for (double priority : sorted) {
      above += priority > threshold ? 1 : 0;
      at += priority == threshold ? 1 : 0;
    }
    double shareAtThreshold = Math.max(0, Math.min(1, (wanted - above) / at));
    return new Gate(threshold, shareAtThreshold, retryShare, admittedShare(), retryAfter);
  }

  /** What is admitted now; any thread. */
  public Gate gate() {
    return gate;
  }

  /** Whether everything is admitted and the last interval's delay was far below the target. */
  public boolean isRelaxed() {
    return delayShare == 1 && lastDelay < settings.targetDelayMicros() / RELAXED_PART_OF_TARGET;
  }

  /** The share of requests that is admitted, 0 to 1. */
  public double admittedShare() {
    return delayShare * resourceShare;
  }
}
