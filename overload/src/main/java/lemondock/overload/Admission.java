package lemondock.overload;

import java.util.Arrays;

/**
 * Admission control for a gateway that is itself overloaded.
 *
 * <p>Overload is detected by the queueing delay of work for the event loop, the worker threads or
 * an I/O thread: if even the shortest delay of an interval exceeds the target, work arrives faster
 * than it is processed (Nichols and Jacobson, "Controlling Queue Delay", 2012); a single long delay
 * is not a sign of overload. The growth of the delay shows by how much the capacity is exceeded:
 * the admitted share falls to what can be processed, less what is needed to drain the queue. It
 * rises again slowly at first, then faster.
 *
 * <p>Requests are admitted by priority, not by order of arrival, with a threshold over the
 * priorities of recent requests (like WeChat's DAGOR: Zhou et al., SoCC 2018), so that requests of
 * lower priority are rejected before those of higher priority. While the share is reduced, retries
 * are admitted within a {@link RetryBudget}. {@link ResourcePressure} reports shortages of memory
 * and file handles; the share that it allows and the share that the delay allows are multiplied.
 *
 * <p>Reads no clock and does no I/O. One thread makes the decisions; {@link Gate} is an immutable
 * snapshot of them that any thread may use.
 */
public final class Admission {
  private static final int RECENT_PRIORITIES = 512;
  private static final double GROWTH_ACCELERATION = 1.2;
  private static final double MAX_GROWTH_RATE = 0.5;
  private static final double MIN_LOAD = 0.2;
  private static final double MAX_DRAIN_FRACTION = 0.8;

  /**
   * Weight of the latency objective in a priority; small, so that it only orders requests of equal
   * class weight.
   */
  private static final double LATENCY_OBJECTIVE_WEIGHT = 1e-3;

  private static final double MICROS_PER_SECOND = 1e6;

  /** The base Retry-After grows by the duration of the overload divided by this number. */
  private static final int OVERLOAD_TO_RETRY_AFTER_DIVISOR = 4;

  private static final int RELAXED_TARGET_DIVISOR = 4;

  private final Settings settings;
  private final RetryBudget retryBudget;

  /** Ring buffer of the priorities of the most recent requests. */
  private final double[] recentPriorities = new double[RECENT_PRIORITIES];

  private int recentCount;
  private int nextRecentIndex;

  /** Shortest completed delay of each queue in this interval; MAX_VALUE if there was none. */
  private final long[] shortestDelaysMicros;

  /** Last reported delay of work that is still waiting, by queue; 0 if none was reported. */
  private final long[] ongoingDelaysMicros;

  private long intervalStartMicros = Long.MIN_VALUE;
  private long lastDelayMicros;
  private double delayShare = 1;
  private double resourceShare = 1;
  private double retryShare = 1;
  private double growthRate;
  private long overloadedSinceMicros;

  /** Written by the deciding thread, read by all threads. */
  private volatile Gate gate = Gate.OPEN;

  /**
   * Parameters of admission control; times in microseconds.
   *
   * @param targetDelayMicros longest acceptable queueing delay
   * @param intervalMicros interval over which the shortest delay is taken
   * @param drainMicros time in which the excess of the delay over the target should be drained
   * @param initialGrowthRate fraction of itself by which the share grows after the first interval
   *     below the target; the fraction grows by a fifth after each further one
   * @param minShare lower bound of the share that the queueing delay allows; without any traffic,
   *     the end of the overload could not be detected
   * @param minRetryAfterMicros lower bound of the base Retry-After, which grows with the duration
   *     of the overload
   * @param maxRetryAfterMicros upper bound of the base Retry-After
   * @param retryBudget parameters of the retry budget
   */
  public record Settings(
      long targetDelayMicros,
      long intervalMicros,
      long drainMicros,
      double initialGrowthRate,
      double minShare,
      long minRetryAfterMicros,
      long maxRetryAfterMicros,
      RetryBudget.Settings retryBudget) {}

  /**
   * A snapshot of the admission decision. Requests with a priority above the threshold are
   * admitted, those at the threshold randomly, those below it are rejected. A retry is first
   * checked against the share of retries.
   *
   * @param threshold priority threshold
   * @param shareAtThreshold share of the requests at the threshold that is admitted
   * @param retryShare share of the retries that is within the retry budget
   * @param newSessionShare share of the new sessions that is admitted
   * @param baseRetryAfterMicros base value of the Retry-After of rejected requests
   */
  public record Gate(
      double threshold,
      double shareAtThreshold,
      double retryShare,
      double newSessionShare,
      long baseRetryAfterMicros) {
    /** Admits everything. */
    public static final Gate OPEN = new Gate(Double.NEGATIVE_INFINITY, 1, 1, 1, 0);

    /** Whether a request of this priority is admitted; {@code random} is drawn from [0, 1). */
    public boolean admits(double priority, double random) {
      return priority > threshold || priority == threshold && random < shareAtThreshold;
    }

    /** Whether a retry is within the budget; {@code random} is drawn from [0, 1). */
    public boolean admitsRetry(double random) {
      return random < retryShare;
    }

    /**
     * Whether a new session is admitted; {@code random} is drawn from [0, 1). A session has no
     * priority yet, and its calls would add to a load of which a part is already rejected.
     */
    public boolean admitsNewSession(double random) {
      return random < newSessionShare;
    }

    /**
     * Retry-After in microseconds, between half the base and twice the base, so that clients that
     * were rejected at the same time do not retry at the same time; {@code random} is drawn from
     * [0, 1).
     */
    public long retryAfterMicros(double random) {
      return (long) (baseRetryAfterMicros * (0.5 + 1.5 * random));
    }
  }

  /** Creates an admission control that admits everything and observes this number of queues. */
  public Admission(Settings settings, int queues) {
    this.shortestDelaysMicros = new long[queues];
    Arrays.fill(shortestDelaysMicros, Long.MAX_VALUE);
    this.ongoingDelaysMicros = new long[queues];
    this.settings = settings;
    this.growthRate = settings.initialGrowthRate();
    this.retryBudget = new RetryBudget(settings.retryBudget());
  }

  /**
   * The priority of a request: ordered by the weight of its class and, among equal weights, by the
   * latency objective, the shorter one first.
   *
   * @param weight priority weight of its class
   * @param latencyObjectiveMicros time within which the first token should arrive
   */
  public static double priority(double weight, long latencyObjectiveMicros) {
    return weight + LATENCY_OBJECTIVE_WEIGHT / (1 + latencyObjectiveMicros / MICROS_PER_SECOND);
  }

  /** Records the arrival of a request, whether it is admitted or not. */
  public void recordArrival(double priority, boolean isRetry) {
    retryBudget.recordArrival(isRetry);
    recentPriorities[nextRecentIndex] = priority;
    nextRecentIndex = (nextRecentIndex + 1) % RECENT_PRIORITIES;
    recentCount = Math.min(RECENT_PRIORITIES, recentCount + 1);
  }

  /** Records the queueing delay of work that has left the queue with this index. */
  public void recordDelay(long nowMicros, int queue, long delayMicros) {
    shortestDelaysMicros[queue] = Math.min(shortestDelaysMicros[queue], delayMicros);
    if (intervalStartMicros == Long.MIN_VALUE) {
      intervalStartMicros = nowMicros;
    } else if (nowMicros - intervalStartMicros >= settings.intervalMicros()) {
      endInterval(nowMicros);
    }
  }

  /**
   * Records the delay so far of work that is still waiting in the queue with this index. It is only
   * a lower bound of the final delay, so it counts only if no delay of the queue was completed in
   * the interval.
   */
  public void recordOngoingDelay(int queue, long delayMicros) {
    ongoingDelaysMicros[queue] = delayMicros;
  }

  private void endInterval(long nowMicros) {
    final double previousShare = delayShare;
    long delay = takeLongestDelayMicros();
    if (delay <= settings.targetDelayMicros()) {
      delayShare = Math.min(1, delayShare * (1 + growthRate));
      growthRate = Math.min(MAX_GROWTH_RATE, growthRate * GROWTH_ACCELERATION);
    } else {
      reduceShare(nowMicros, delay);
    }
    lastDelayMicros = delay;
    intervalStartMicros = nowMicros;
    // Called even while everything is admitted, so that old counts decay.
    retryShare = retryBudget.admittedShare(nowMicros);
    if (delayShare != previousShare || delayShare < 1 || resourceShare < 1) {
      updateGate(nowMicros);
    }
  }

  /**
   * Returns the longest delay of all queues, because work has to pass through each of them, and
   * clears the delays for the next interval.
   */
  private long takeLongestDelayMicros() {
    long longestMicros = 0;
    for (int i = 0; i < shortestDelaysMicros.length; i++) {
      boolean hasCompleted = shortestDelaysMicros[i] != Long.MAX_VALUE;
      longestMicros =
          Math.max(longestMicros, hasCompleted ? shortestDelaysMicros[i] : ongoingDelaysMicros[i]);
      shortestDelaysMicros[i] = Long.MAX_VALUE;
      ongoingDelaysMicros[i] = 0;
    }
    return longestMicros;
  }

  /** Reduces the share to what can be processed, less what is needed to drain the queue. */
  private void reduceShare(long nowMicros, long delayMicros) {
    double load =
        Math.max(
            MIN_LOAD,
            1 + (double) (delayMicros - lastDelayMicros) / (nowMicros - intervalStartMicros));
    double drainFraction =
        Math.min(
            MAX_DRAIN_FRACTION,
            (double) (delayMicros - settings.targetDelayMicros()) / settings.drainMicros());
    overloadedSinceMicros = delayShare == 1 ? nowMicros : overloadedSinceMicros;
    delayShare =
        Math.max(settings.minShare(), Math.min(1, delayShare / load * (1 - drainFraction)));
    growthRate = settings.initialGrowthRate();
  }

  /** Sets the maximum share that memory and file handles allow, 0 (nothing) to 1 (everything). */
  public void limitByResources(long nowMicros, double maxShare) {
    if (maxShare != resourceShare) {
      overloadedSinceMicros =
          resourceShare == 1 && delayShare == 1 ? nowMicros : overloadedSinceMicros;
      resourceShare = maxShare;
      updateGate(nowMicros);
    }
  }

  private void updateGate(long nowMicros) {
    gate = admittedShare() == 1 ? Gate.OPEN : reducedGate(nowMicros);
  }

  private Gate reducedGate(long nowMicros) {
    long retryAfterMicros =
        Math.min(
            settings.maxRetryAfterMicros(),
            settings.minRetryAfterMicros()
                + (nowMicros - overloadedSinceMicros) / OVERLOAD_TO_RETRY_AFTER_DIVISOR);
    if (admittedShare() == 0) {
      return new Gate(Double.POSITIVE_INFINITY, 0, 0, 0, retryAfterMicros);
    }
    if (recentCount == 0) {
      return new Gate(Double.NEGATIVE_INFINITY, 1, retryShare, admittedShare(), retryAfterMicros);
    }
    return gateByRecentPriorities(retryAfterMicros);
  }

  /** Chooses the threshold so that the admitted share of the recent requests lies above it. */
  private Gate gateByRecentPriorities(long retryAfterMicros) {
    double[] sorted = Arrays.copyOf(recentPriorities, recentCount);
    Arrays.sort(sorted);
    double admittedCount = admittedShare() * recentCount;
    int index =
        (int) Math.min(recentCount - 1, Math.max(0, Math.floor(recentCount - admittedCount)));
    double threshold = sorted[index];
    int aboveCount = 0;
    int atCount = 0;
    for (double priority : sorted) {
      aboveCount += priority > threshold ? 1 : 0;
      atCount += priority == threshold ? 1 : 0;
    }
    double shareAtThreshold = Math.max(0, Math.min(1, (admittedCount - aboveCount) / atCount));
    return new Gate(threshold, shareAtThreshold, retryShare, admittedShare(), retryAfterMicros);
  }

  /** The current admission decision; any thread. */
  public Gate gate() {
    return gate;
  }

  /** Whether the delay limits nothing and was well below the target in the last interval. */
  public boolean isRelaxed() {
    return delayShare == 1
        && lastDelayMicros < settings.targetDelayMicros() / RELAXED_TARGET_DIVISOR;
  }

  /** The share of requests that is admitted, 0 (none) to 1 (all). */
  public double admittedShare() {
    return delayShare * resourceShare;
  }
}
