package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** One request, from its arrival until it has ended and none of its attempts is in flight. */
final class InFlightRequest {
  private final RoutingRequest attributes;
  private final RequestClass requestClass;
  private final long arrivedAtMicros;
  private final long objectiveMicros;
  private final long answerTokens;
  private final ReservedState reservedState;
  private final double lateReadFactor;

  // Written by AttemptSender and AttemptRecorder.
  private final List<Attempt> attempts = new ArrayList<>();
  private int attemptsInFlight;
  private Optional<Attempt> possibleEffect = Optional.empty();

  // Written by StateReleasePolicy.
  private Optional<ServerState> stateHolder = Optional.empty();

  // Written by ReaderSelector.
  private Optional<SessionEntry> session = Optional.empty();

  // Written by Control; RequestCompletion also writes ended.
  private boolean streaming;
  private boolean ended;

  InFlightRequest(
      RoutingRequest attributes,
      RequestClass requestClass,
      long arrivedAtMicros,
      ReservedState reservedState,
      double lateReadFactor) {
    this.attributes = attributes;
    this.requestClass = requestClass;
    this.arrivedAtMicros = arrivedAtMicros;
    this.objectiveMicros =
        requestClass.latencyObjectiveMicros()
            + requestClass.objectiveMicrosPerThousandTokens() * attributes.promptTokens() / 1000;
    this.answerTokens = expectedAnswerTokens(attributes, requestClass);
    this.reservedState = reservedState;
    this.lateReadFactor = lateReadFactor;
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

  RoutingRequest attributes() {
    return attributes;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  long arrivedAtMicros() {
    return arrivedAtMicros;
  }

  /** Latency objective for the first token, counted from the arrival, for this prompt's length. */
  long objectiveMicros() {
    return objectiveMicros;
  }

  /** Time left until the latency objective; negative once it is missed. */
  long remainingObjectiveMicros(long nowMicros) {
    return objectiveMicros - (nowMicros - arrivedAtMicros);
  }

  /** Expected length of the answer, at least 1. */
  long answerTokens() {
    return answerTokens;
  }

  /** Tokens that the request occupies at a writer: the prompt and the expected answer. */
  long writeTokens() {
    return attributes.promptTokens() + answerTokens;
  }

  /** The state that readers may hold for the request. */
  ReservedState reservedState() {
    return reservedState;
  }

  /**
   * Random number from 0 to 1, drawn once per request. A read is not sent if its expected time
   * times this number exceeds the time left for it: the later a read would end, the less likely it
   * is sent.
   */
  double lateReadFactor() {
    return lateReadFactor;
  }

  /** Adds an attempt that is about to be sent. */
  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
    if (attempt.writes() && possibleEffect.isEmpty()) {
      possibleEffect = Optional.of(attempt);
    }
  }

  /** Records that the attempt, which has been marked as ended, is no longer in flight. */
  void attemptEnded(Attempt attempt) {
    attemptsInFlight--;
    if (attempt.neverRan() && possibleEffect.filter(first -> first == attempt).isPresent()) {
      possibleEffect = Optional.empty();
    }
  }

  /** The attempt with this index, from 0; empty if no such attempt was sent. */
  Optional<Attempt> attempt(int index) {
    return index < attempts.size() ? Optional.of(attempts.get(index)) : Optional.empty();
  }

  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Number of attempts sent so far, including those that have ended. */
  int attemptCount() {
    return attempts.size();
  }

  /** Indexes of the attempts that have not ended. */
  IntStream attemptIndexesInFlight() {
    return IntStream.range(0, attempts.size()).filter(index -> !attempts.get(index).hasEnded());
  }

  boolean hasAttemptInFlight() {
    return attemptsInFlight > 0;
  }

  boolean hasWriteInFlight() {
    return attempts.stream().anyMatch(attempt -> attempt.writes() && !attempt.hasEnded());
  }

  boolean hasFailedAt(ServerState server) {
    return attempts.stream().anyMatch(attempt -> attempt.server() == server && attempt.hasFailed());
  }

  long timedOutAttempts() {
    return attempts.stream().filter(Attempt::hasTimedOut).count();
  }

  /** The first write that may have had an effect; empty if there is none. */
  Optional<Attempt> possibleEffect() {
    return possibleEffect;
  }

  /** The reader that holds the state for a writer, as far as is known. */
  Optional<ServerState> stateHolder() {
    return stateHolder;
  }

  void setStateHolder(ServerState reader) {
    stateHolder = Optional.of(reader);
  }

  void clearStateHolder() {
    stateHolder = Optional.empty();
  }

  /** Where the session was last read, as looked up when a reader was last selected. */
  Optional<SessionEntry> session() {
    return session;
  }

  void setSession(Optional<SessionEntry> found) {
    session = found;
  }

  /** Whether the answer is being streamed to the client. */
  boolean isStreaming() {
    return streaming;
  }

  void setStreaming(boolean isStreaming) {
    streaming = isStreaming;
  }

  /** Whether the client has its final answer, or needs none any more. */
  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
