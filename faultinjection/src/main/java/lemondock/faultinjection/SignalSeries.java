package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

/**
 * Signals that a gateway gets in quick succession when it is terminated: reloads of its
 * configuration right before, between and after requests to terminate, and short periods in which
 * it is stopped.
 */
record SignalSeries(List<Step> steps) {
  private static final int MIN_RELOADS = 1;
  private static final int RELOADS_RANGE = 5;
  private static final int MAX_LATER_SIGNALS = 5;
  private static final long MAX_PAUSE_MILLIS = 60;

  /** The signal that a step sends. */
  enum Signal {
    RELOAD("HUP"),
    TERMINATE("TERM"),
    /** SIGSTOP, and SIGCONT once the step's pause is over. */
    FREEZE("STOP");

    private final String code;

    Signal(String code) {
      this.code = code;
    }

    /** The name of the signal as the kill command takes it. */
    String code() {
      return code;
    }
  }

  /** One signal, and the pause after it. */
  record Step(Signal signal, long pauseMillis) {
    @Override
    public String toString() {
      return signal.code() + "+" + pauseMillis;
    }
  }

  /**
   * Draws a series with at least one request to terminate. The order of the random draws is fixed.
   */
  static SignalSeries draw(SplittableRandom random) {
    List<Step> steps = new ArrayList<>();
    int reloads = MIN_RELOADS + random.nextInt(RELOADS_RANGE);
    for (int i = 0; i < reloads; i++) {
      steps.add(drawStep(Signal.RELOAD, random));
    }
    steps.add(drawStep(Signal.TERMINATE, random));
    int laterSignals = random.nextInt(MAX_LATER_SIGNALS + 1);
    for (int i = 0; i < laterSignals; i++) {
      Signal[] signals = Signal.values();
      steps.add(drawStep(signals[random.nextInt(signals.length)], random));
    }
    return new SignalSeries(List.copyOf(steps));
  }

  private static Step drawStep(Signal signal, SplittableRandom random) {
    return new Step(signal, random.nextLong(MAX_PAUSE_MILLIS));
  }

  @Override
  public String toString() {
    return steps.stream().map(Step::toString).collect(Collectors.joining(" ", "signals [", "]"));
  }
}
