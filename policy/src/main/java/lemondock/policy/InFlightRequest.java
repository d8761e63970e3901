package lemondock.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/** One request from its arrival until it is answered and none of its attempts is in flight. */
final class InFlightRequest {
  private final RoutingRequest attributes;
  private final RequestClass requestClass;
  private final long arrivedAtMicros;
  private final long objectiveMicros;
  private final long answerTokens;
  private final ReservedState reservedState;
  private final double lateReadThreshold;

  // Written by AttemptSender and AttemptRecorder.
  private final List<Attempt> attempts = new ArrayList<>();
  private int attemptsInFlight;
  private Optional<Attempt> possibleEffect = Optional.empty();

  // Written by StateReleasePolicy.
  private Optional<ServerState> stateHolder = Optional.empty();

  // Written by ReaderSelector.
  private Optional<SessionEntry> session = Optional.empty();

  // Written by Control; RequestCompletion ends requests too.
  private boolean streaming;
  private boolean ended;

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

  RoutingRequest attributes() {
    return attributes;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  long arrivedAtMicros() {
    return arrivedAtMicros;
  }

  /** Time from arrival to first token that the class wants, for this prompt's length. */
  long objectiveMicros() {
    return objectiveMicros;
  }

  /** What is left of the latency objective; negative once it is missed. */
  long remainingObjectiveMicros(long nowMicros) {
    return objectiveMicros - (nowMicros - arrivedAtMicros);
  }

  /** Expected length of the answer. */
  long answerTokens() {
    return answerTokens;
  }

  /** Tokens that the request occupies at a writer: prompt and answer. */
  long writeTokens() {
    return attributes.promptTokens() + answerTokens;
  }

  /** What readers may hold for the request. */
  ReservedState reservedState() {
    return reservedState;
  }

  /**
   * Drawn once, from 0 to 1: a read that would be late is put off by chance, the longer the
   * likelier.
   */
  double lateReadThreshold() {
    return lateReadThreshold;
  }

  /** An attempt is sent. */
  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
    if (attempt.writes() && possibleEffect.isEmpty()) {
      possibleEffect = Optional.of(attempt);
    }
  }

  /** The attempt has ended. */
  void attemptEnded(Attempt attempt) {
    attemptsInFlight--;
    if (attempt.neverRan() && possibleEffect.filter(first -> first == attempt).isPresent()) {
      possibleEffect = Optional.empty();
    }
  }

  /** The attempt of that number, from 0; empty if none was sent. */
  Optional<Attempt> attempt(int number) {
    return number < attempts.size() ? Optional.of(attempts.get(number)) : Optional.empty();
  }

  Attempt lastAttempt() {
    return attempts.get(attempts.size() - 1);
  }

  /** Attempts sent so far, ended ones among them. */
  int attemptCount() {
    return attempts.size();
  }

  /** Numbers of the attempts that have not ended. */
  IntStream attemptNumbersInFlight() {
    return IntStream.range(0, attempts.size()).filter(number -> !attempts.get(number).ended());
  }

  boolean hasAttemptInFlight() {
    return attemptsInFlight > 0;
  }

  boolean hasWriteInFlight() {
    return attempts.stream().anyMatch(attempt -> attempt.writes() && !attempt.ended());
  }

  boolean hasFailedAt(ServerState server) {
    return attempts.stream().anyMatch(attempt -> attempt.server() == server && attempt.failed());
  }

  long timedOutAttempts() {
    return attempts.stream().filter(Attempt::timedOut).count();
  }

  /** The first write that may have had an effect. */
  Optional<Attempt> possibleEffect() {
    return possibleEffect;
  }

  /** The reader whose state a writer can take. */
  Optional<ServerState> stateHolder() {
    return stateHolder;
  }

  void setStateHolder(ServerState reader) {
    stateHolder = Optional.of(reader);
  }

  void clearStateHolder() {
    stateHolder = Optional.empty();
  }

  /** Where the session was read last, as found when a reader was last chosen. */
  Optional<SessionEntry> session() {
    return session;
  }

  void setSession(Optional<SessionEntry> found) {
    session = found;
  }

  /** Whether the answer has begun and belongs to the client. */
  boolean streaming() {
    return streaming;
  }

  void setStreaming(boolean begun) {
    streaming = begun;
  }

  /** Whether nothing more is owed to the client. */
  boolean ended() {
    return ended;
  }

  void end() {
    ended = true;
  }
}
