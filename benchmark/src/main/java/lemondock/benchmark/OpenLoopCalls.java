package lemondock.benchmark;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * An open-loop load generator: sends calls with long prompts at exponentially distributed
 * intervals, without waiting for answers. Used by one thread.
 */
final class OpenLoopCalls {
  private static final int PROMPT_WORDS = 1_000;
  private static final int ANSWER_WORDS = 20;
  private static final int SESSIONS = 200;

  /** Sessions opened at a time: a gateway that has just started rejects some of a larger group. */
  private static final int SESSIONS_PER_STEP = 10;

  private static final long MIN_SLEEP_NANOS = 200_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long DONE_TIMEOUT_SECONDS = 10;
  private static final long POLL_MILLIS = 20;

  private final String prompt = drawPrompt();

  /** Session ids by the gateway's port; opened once for each gateway, before it is under load. */
  private final Map<Integer, List<String>> sessionsByPort = new HashMap<>();

  /** A mean call rate and how long it is held. */
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
   * Runs the phases against a gateway, one after the other, and then waits up to ten seconds for
   * the last answers.
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

  /** The gateway that a run calls, and the outcome that counts how its calls end. */
  private record Target(
      StreamLoad load, int port, List<String> sessions, OverloadOutcome outcome) {}

  private void sendAll(Target target, List<Phase> phases, SplittableRandom random)
      throws InterruptedException {
    long startNanos = System.nanoTime();
    double phaseStartSecond = 0;
    for (Phase phase : phases) {
      double phaseEndSecond = phaseStartSecond + phase.seconds();
      double sendSecond = phaseStartSecond + drawIntervalSeconds(phase, random);
      while (sendSecond < phaseEndSecond) {
        sleepUntil(startNanos + (long) (sendSecond * NANOS_PER_SECOND));
        send(target, OverloadOutcome.slotAt(sendSecond));
        sendSecond += drawIntervalSeconds(phase, random);
      }
      phaseStartSecond = phaseEndSecond;
    }
  }

  private static double drawIntervalSeconds(Phase phase, SplittableRandom random) {
    return -Math.log(1 - random.nextDouble()) / phase.callsPerSecond();
  }

  private static void sleepUntil(long targetNanos) throws InterruptedException {
    long remainingNanos = targetNanos - System.nanoTime();
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
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(DONE_TIMEOUT_SECONDS);
    while (outcome.hasUnfinished() && System.nanoTime() < untilNanos) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
  }
}
