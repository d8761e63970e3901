package lemondock.faultinjection;

import java.util.List;
import java.util.SplittableRandom;

/**
 * How writers stream their answers.
 *
 * @param firstTokenMicros time from taking the state to the first event, in microseconds
 * @param tokensPerEvent number of tokens that a writer collects for one event
 * @param tokenIntervalMicros time that a writer takes for one token, in microseconds
 * @param minEvents the least number of events of an answer
 * @param eventsRange number of different answer lengths, in events
 * @param maxAnswerTokens the longest answer that clients state in their requests
 */
record StreamPace(
    long firstTokenMicros,
    int tokensPerEvent,
    long tokenIntervalMicros,
    int minEvents,
    int eventsRange,
    int maxAnswerTokens) {
  /** Short answers with an event for each token. */
  static final StreamPace USUAL = new StreamPace(10_000, 1, 15_000, 3, 20, 40);

  /** Time of a write besides its answer, in seconds. */
  private static final double OVERHEAD_SECONDS = 0.015;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final List<Integer> TOKENS_PER_EVENT = List.of(1, 2, 4, 8);
  private static final long MIN_TOKEN_INTERVAL_MICROS = 15_000;
  private static final long MAX_TOKEN_INTERVAL_MICROS = 100_000;
  private static final int SHORT_ANSWER_TOKENS = 8;
  private static final int LONG_ANSWER_TOKENS = 96;

  /** Draws a pace. The order of the random draws is fixed. */
  static StreamPace draw(SplittableRandom random) {
    int tokensPerEvent = TOKENS_PER_EVENT.get(random.nextInt(TOKENS_PER_EVENT.size()));
    long tokenIntervalMicros =
        MIN_TOKEN_INTERVAL_MICROS
            + random.nextLong(MAX_TOKEN_INTERVAL_MICROS - MIN_TOKEN_INTERVAL_MICROS);
    int maxTokens = random.nextBoolean() ? SHORT_ANSWER_TOKENS : LONG_ANSWER_TOKENS;
    int maxEvents = maxTokens / tokensPerEvent;
    int minEvents = Math.max(1, maxEvents / 4);
    int eventsRange = maxEvents - minEvents + 1;
    return new StreamPace(
        USUAL.firstTokenMicros,
        tokensPerEvent,
        tokenIntervalMicros,
        minEvents,
        eventsRange,
        maxTokens);
  }

  /** Time from one event to the next, in microseconds. */
  long eventIntervalMicros() {
    return tokensPerEvent * tokenIntervalMicros;
  }

  /** Mean duration of a write, in seconds. */
  double meanWriteSeconds() {
    double meanEvents = minEvents + eventsRange / 2.0;
    double meanMicros = firstTokenMicros + meanEvents * eventIntervalMicros();
    return OVERHEAD_SECONDS + meanMicros / MICROS_PER_SECOND;
  }
}
