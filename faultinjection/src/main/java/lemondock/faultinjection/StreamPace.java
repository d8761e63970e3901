package lemondock.faultinjection;

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
