package lemondock.benchmark;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Sends calls with long prompts at a pace that does not wait for answers: an open loop with
 * exponential pauses. Used by one thread.
 */
final class OpenLoopCalls {
  private static final int PROMPT_WORDS = 1_000;
  private static final int ANSWER_WORDS = 20;
  private static final int SESSIONS = 200;

  /** A gateway that has just started rejects some of many sessions at once. */
  private static final int SESSIONS_PER_STEP = 10;

  private static final long MIN_SLEEP_NANOS = 200_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DONE_WAIT_SECONDS = 10;
  private static final long POLL_MILLIS = 20;

  private final String prompt = drawPrompt();

  /** By port of the gateway; opened once, while nothing presses. */
  private final Map<Integer, List<String>> sessionsByPort = new HashMap<>();

  /** A pace of calls that is kept for a while. */
  record Phase(double callsPerSecond, double seconds) {}

  private static String drawPrompt() {
    SplittableRandom random = new SplittableRandom(1);
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < PROMPT_WORDS; i++) {
      text.append(" w").append(random.nextInt(10_000));
    }
    return text.toString();
  }

  /**
   * Sends calls to a gateway, one phase after the other, and waits up to ten seconds for the last
   * answers.
   */
  OverloadOutcome run(StreamLoad load, int port, List<Phase> phases, long seed)
      throws InterruptedException {
    List<String> sessions = sessionsByPort.get(port);
    if (sessions == null) {
      sessions = load.openSessionsInSteps(port, SESSIONS, SESSIONS_PER_STEP);
      sessionsByPort.put(port, sessions);
    }
    double totalSeconds = phases.stream().mapToDouble(Phase::seconds).sum();
    OverloadOutcome outcome = new OverloadOutcome(totalSeconds);
    sendAll(new Target(load, port, sessions, outcome), phases, new SplittableRandom(seed));
    awaitAnswers(outcome);
    return outcome;
  }

  /** Where the calls of a run go, and where their ends are counted. */
  private record Target(
      StreamLoad load, int port, List<String> sessions, OverloadOutcome outcome) {}

  private void sendAll(Target target, List<Phase> phases, SplittableRandom random)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    double phaseBegin = 0;
    for (Phase phase : phases) {
      double phaseEnd = phaseBegin + phase.seconds();
      double second = phaseBegin + drawPause(phase, random);
      while (second < phaseEnd) {
        sleepUntil(startNanos + (long) (second * NANOS_PER_SECOND));
        send(target, OverloadOutcome.slotAt(second));
        second += drawPause(phase, random);
      }
      phaseBegin = phaseEnd;
    }
  }

  private static double drawPause(Phase phase, SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) / phase.callsPerSecond();
  }

  private static void sleepUntil(long momentNanos) throws InterruptedException {
    long remainingNanos = momentNanos - System.nanoTime();
    if (remainingNanos > MIN_SLEEP_NANOS) {
      TimeUnit.NANOSECONDS.sleep(remainingNanos);
    }
  }

  private void send(Target target, int slot) {
    OverloadOutcome outcome = target.outcome();
    int number = outcome.countSent(slot);
    OverloadClass requestClass = OverloadClass.ofCall(number);
    String session = target.sessions().get(number % target.sessions().size());
    byte[] body =
        RequestBodies.call(
            number,
            requestClass.toolName(),
            "#o" + number + "# answer in " + ANSWER_WORDS + " words " + prompt);
    target
        .load()
        .call(
            number,
            target.port(),
            session,
            body,
            () -> new OverloadCallReceiver(outcome, requestClass, slot));
  }

  private static void awaitAnswers(OverloadOutcome outcome) throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DONE_WAIT_SECONDS);
    while (outcome.hasUnfinished() && System.nanoTime() < untilNanos) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }
}
