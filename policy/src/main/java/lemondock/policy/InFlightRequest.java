package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** One request from its arrival until it is answered and none of its attempts is in flight. */
final class InFlightRequest {
  final RoutingRequest attributes;
  final RequestClass requestClass;
  final long arrivedAtMicros;

  /** Time from arrival to first token that the class wants, for this prompt's length. */
  final long objectiveMicros;

  /** Expected length of the answer. */
  final long answerTokens;

  /** What readers may hold for the request. */
  final ReservedState reservedState;

  /**
   * Drawn once, from 0 to 1: a read that would be late is put off by chance, the longer the
   * likelier.
   */
  final double lateReadThreshold;

  final List<Attempt> attempts = new ArrayList<>();

  /** The reader whose state a writer can take; null while there is none. */
  ServerState stateHolder;

  /** Where the session was read last, as found when a reader was last chosen. */
  Optional<SessionEntry> session = Optional.empty();

  /** The first write that may have had an effect; null while there is none. */
  Attempt possibleEffect;

  int attemptsInFlight;

  /** The answer has begun and belongs to the client. */
  boolean streaming;

  boolean ended;

  InFlightRequest(
      RoutingRequest attributes,
      RequestClass requestClass,
      long arrivedAtMicros,
      ReservedState reservedState,
      double lateReadThreshold) {
    this.attributes = attributes;
    this.requestClass = requestClass;
    this.arrivedAtMicros = arrivedAtMicros;
    this.objectiveMicros =
        requestClass.latencyObjectiveMicros()
            + requestClass.objectiveMicrosPerThousandTokens() * attributes.promptTokens() / 1000;
    this.answerTokens = expectedAnswerTokens(attributes, requestClass);
    this.reservedState = reservedState;
    this.lateReadThreshold = lateReadThreshold;
  }

  private static long expectedAnswerTokens(RoutingRequest attributes, RequestClass requestClass) {
    long interval = requestClass.tokenIntervalObjectiveMicros();
    if (attributes.expectedWriteMicros() > 0 && interval > 0) {
      return Math.max(1, attributes.expectedWriteMicros() / interval);
    }
    return Math.max(1, attributes.maxAnswerTokens() / 2);
  }

  long id() {
    return attributes.id();
  }

  /** Tokens that the request occupies at a writer: prompt and answer. */
  long writeTokens() {
    return attributes.promptTokens() + answerTokens;
  }

  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** What is left of the latency objective; negative once it is missed. */
  long remainingObjectiveMicros(long nowMicros) {
    return objectiveMicros - (nowMicros - arrivedAtMicros);
  }
}
