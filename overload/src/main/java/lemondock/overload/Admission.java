package lemondock.overload;

import java.util.Arrays;

/**
 * What to let in when the gateway itself is at its limit. Its first sign of overload is the time
 * for which work waits in one of its queues, for the decision context or for the thread of a shard:
 * when even the shortest wait of an interval is above the target, work comes faster than it is done
 * (Nichols and Jacobson, "Controlling Queue Delay", 2012); a single long wait says nothing. How
 * fast that wait grows tells by how much: the share let in falls to what can be done, less what
 * works off the wait, and rises again slowly at first, then fast. Which requests make up the share
 * goes by worth and urgency, not by who came first, with a threshold over those seen lately (as
 * WeChat's DAGOR: Zhou et al., SoCC 2018), so a less valuable request is refused before a more
 * valuable one. Repeats are let in within a {@link RetryBudget} while the share is cut. What else
 * is short tells a {@link ResourcePressure}, whose scale is a factor on the share.
 *
 * <p>No clock, no I/O. One thread decides; {@link Gate} is a picture of the decision that any
 * thread may ask.
 */
public final class Admission {
  private static final int SEEN = 512;
  private static final double GROWTH_GROWS = 1.2;
  private static final double MOST_GROWTH = 0.5;
  private static final double LEAST_LOAD = 0.2;
  private static final double MOST_FOR_DRAIN = 0.8;

  private final Settings settings;
  private final double[] seen = new double[SEEN];
  private int seenCount;
  private int next;
  private final RetryBudget budget;
  private double share = 1;
  private double scale = 1;
  private double repeats = 1;
  private long intervalSince = Long.MIN_VALUE;
  private final long[] shortest;
  private final long[] waiting;
  private long lastShortest;
  private double growth;
  private long overSince;
  private volatile Gate gate = Gate.OPEN;

  /**
   * How it decides; times in microseconds.
   *
   * @param target wait for the context that is still good
   * @param interval over which the shortest wait is taken
   * @param drain time in which a wait above the target is to be worked off
   * @param step part of itself by which the share grows after a good one; a fifth more after each
   *     further one
   * @param least share that is let in however bad it is: without any, nothing would show that it is
   *     over
   * @param advice when to come back, at the least; grows with how long the overload lasts
   * @param mostAdvice and at the most
   * @param repeats what repeated calls may come in for new ones
   */
  public record Settings(
      long target,
      long interval,
      long drain,
      double step,
      double least,
      long advice,
      long mostAdvice,
      RetryBudget.Settings repeats) {}

  /**
   * What is let in now. Values above the threshold are, those at it by chance, those below it are
   * not; of repeats only that share is asked for its value at all.
   *
   * @param newcomers share of new sessions that is let in
   */
  public record Gate(
      double threshold, double shareAtThreshold, double repeats, double newcomers, long advice) {
    /** Lets all in. */
    public static final Gate OPEN = new Gate(Double.NEGATIVE_INFINITY, 1, 1, 1, 0);

    /** Whether a request of that value is let in; {@code chance} is drawn from 0 up to 1. */
    public boolean admits(double value, double chance) {
      return value > threshold || value == threshold && chance < shareAtThreshold;
    }

    /** Whether a repeated call is within the budget. */
    public boolean admitsRepeat(double chance) {
      return chance < repeats;
    }

    /**
     * Whether a new session is let in: it has no worth yet, and its calls come on top of those that
     * are refused.
     */
    public boolean admitsNewcomer(double chance) {
      return chance < newcomers;
    }

    /**
     * When to come back, spread over twice the advice so that those refused together do not return
     * together.
     */
    public long retryAfter(double chance) {
      return (long) (advice * (0.5 + 1.5 * chance));
    }
  }

  /** Makes one that lets all in; it hears of so many queues. */
  public Admission(Settings settings, int queues) {
    this.shortest = new long[queues];
    Arrays.fill(shortest, Long.MAX_VALUE);
    this.waiting = new long[queues];
    this.settings = settings;
    this.growth = settings.step();
    this.budget = new RetryBudget(settings.repeats());
  }

  /**
   * The value of a request: its worth, and among equals the one with less time left to lose first.
   *
   * @param worth of its class
   * @param aim time (microseconds) within which the first token is wanted
   */
  public static double value(double worth, long aim) {
    return worth + 1e-3 / (1 + aim / 1e6);
  }

  /** A request arrived, let in or not; {@code repeat} says that its client asked before. */
  public void arrived(double value, boolean repeat) {
    budget.arrived(repeat);
    seen[next] = value;
    next = (next + 1) % SEEN;
    seenCount = Math.min(SEEN, seenCount + 1);
  }

  /** A piece of work waited in the queue of that number for so long. */
  public void waited(long now, int queue, long micros) {
    shortest[queue] = Math.min(shortest[queue], micros);
    if (intervalSince == Long.MIN_VALUE) {
      intervalSince = now;
    } else if (now - intervalSince >= settings.interval()) {
      judge(now);
    }
  }

  /**
   * A piece of work has been waiting in that queue for so long and still does. That is no wait yet
   * but the least that it will be, so it counts only if none ended in the interval.
   */
  public void waiting(int queue, long micros) {
    waiting[queue] = micros;
  }

  /** The worst of the queues counts: whatever has to pass all of them waits there. */
  private void judge(long now) {
    final double before = share;
    long shortest = 0;
    for (int i = 0; i < this.shortest.length; i++) {
      shortest =
          Math.max(shortest, this.shortest[i] != Long.MAX_VALUE ? this.shortest[i] : waiting[i]);
      this.shortest[i] = Long.MAX_VALUE;
      waiting[i] = 0;
    }
    if (shortest <= settings.target()) {
      share = Math.min(1, share * (1 + growth));
      growth = Math.min(MOST_GROWTH, growth * GROWTH_GROWS);
    } else {
      double load =
          Math.max(LEAST_LOAD, 1 + (double) (shortest - lastShortest) / (now - intervalSince));
      double forDrain =
          Math.min(MOST_FOR_DRAIN, (double) (shortest - settings.target()) / settings.drain());
      overSince = share == 1 ? now : overSince;
      share = Math.max(settings.least(), Math.min(1, share / load * (1 - forDrain)));
      growth = settings.step();
    }
    lastShortest = shortest;
    intervalSince = now;
    repeats = budget.share(now); // also while all is let in, so that old counts fade
    if (share != before || share < 1 || scale < 1) {
      shut(now);
    }
  }

  /** What is short of memory and handles lets in this share at the most; 0 lets nothing in. */
  public void pressed(long now, double mostShare) {
    if (mostShare != scale) {
      overSince = scale == 1 && share == 1 ? now : overSince;
      scale = mostShare;
      shut(now);
    }
  }

  private void shut(long now) {
    gate = share() == 1 ? Gate.OPEN : gate(now);
  }

  /** The threshold above which the share of what was seen lately lies. */
  private Gate gate(long now) {
    long advice = Math.min(settings.mostAdvice(), settings.advice() + (now - overSince) / 4);
    if (share() == 0) {
      return new Gate(Double.POSITIVE_INFINITY, 0, 0, 0, advice);
    }
    if (seenCount == 0) {
      return new Gate(Double.NEGATIVE_INFINITY, 1, repeats, share(), advice);
    }
    double[] sorted = Arrays.copyOf(seen, seenCount);
    Arrays.sort(sorted);
    double wanted = share() * seenCount;
    double threshold =
        sorted[(int) Math.min(seenCount - 1, Math.max(0, Math.floor(seenCount - wanted)))];
    int above = 0;
    int at = 0;
    for (double value : sorted) {
      above += value > threshold ? 1 : 0;
      at += value == threshold ? 1 : 0;
    }
    return new Gate(
        threshold, Math.max(0, Math.min(1, (wanted - above) / at)), repeats, share(), advice);
  }

  /** What is let in now; any thread. */
  public Gate gate() {
    return gate;
  }

  /** Whether all is let in and the last interval's shortest wait was far below the target. */
  public boolean calm() {
    return share == 1 && lastShortest < settings.target() / 4;
  }

  /** The share let in. */
  public double share() {
    return share * scale;
  }
}
