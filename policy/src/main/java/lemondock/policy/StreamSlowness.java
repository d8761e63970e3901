package lemondock.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * How much slower than the objective of their class recent answers were streamed. The number of
 * tokens of an answer is not known, so an answer is taken to be as long as its request allows: the
 * slowness is a lower bound, close where answers are of full length.
 */
final class StreamSlowness {
  /** Time constant with which a slow stream is forgotten. */
  private static final long DECAY_MICROS = 60_000_000L;

  /** By class id: the greatest recent ratio of a stream's duration to its objective. */
  private final List<DecayingValue> ratios = new ArrayList<>();

  /** Creates an estimate of 1 for each class. */
  StreamSlowness(int classCount) {
    for (int i = 0; i < classCount; i++) {
      ratios.add(new DecayingValue(DECAY_MICROS));
    }
  }

  /** Records a stream that has ended successfully. */
  void record(InFlightRequest request, long durationMicros, long nowMicros) {
    long objectiveMicros = streamObjectiveMicros(request);
    if (objectiveMicros > 0) {
      ratios
          .get(request.attributes().classId())
          .raiseTo((double) durationMicros / objectiveMicros, nowMicros);
    }
  }

  /** Expected duration of the longest answer to a request, in microseconds. */
  long longestStreamMicros(InFlightRequest request, long nowMicros) {
    double ratio = ratios.get(request.attributes().classId()).at(nowMicros);
    return (long) (streamObjectiveMicros(request) * Math.max(1, ratio));
  }

  /** Duration of an answer of maximum length at the objective of its class. */
  static long streamObjectiveMicros(InFlightRequest request) {
    return request.attributes().maxAnswerTokens()
        * request.requestClass().tokenIntervalObjectiveMicros();
  }
}
