package lemondock.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * A host that records every action of the router, with factory methods for small settings, servers
 * and requests.
 */
final class RecordingHost implements RouterHost {
  /**
   * One recorded action; components that do not apply are 0.
   *
   * @param id the request, or the token of a timer
   * @param value delay, timeout or Retry-After in microseconds, or the index of an attempt
   */
  record Action(String name, long id, long server, long value) {}

  static final long SECOND = 1_000_000L;
  static final int READER = 0;
  static final int WRITER = 1;
  static final int MIXED = 2;
  static final int IDEMPOTENT_CLASS = 0;
  static final int NON_IDEMPOTENT_CLASS = 1;
  static final int IDEMPOTENCY_KEY_CLASS = 2;

  final List<Action> actions = new ArrayList<>();

  /** The latest send time of each attempt, in the order of the sends. */
  final List<Long> sendLimits = new ArrayList<>();

  /** Returns the actions since the last call, without log lines, and clears the record. */
  List<Action> takeActions() {
    List<Action> recorded =
        actions.stream().filter(action -> !action.name().equals("log")).toList();
    actions.clear();
    return recorded;
  }

  /** Returns the actions with this name since the last call of {@link #takeActions}. */
  List<Action> actionsNamed(String name) {
    return actions.stream().filter(action -> action.name().equals(name)).toList();
  }

  @Override
  public void send(long requestId, long serverId, long timeoutMicros, long latestSendMicros) {
    actions.add(new Action("send", requestId, serverId, timeoutMicros));
    sendLimits.add(latestSendMicros);
  }

  @Override
  public void reject(long requestId, long retryAfterMicros) {
    actions.add(new Action("reject", requestId, 0, retryAfterMicros));
  }

  @Override
  public void fail(long requestId) {
    actions.add(new Action("fail", requestId, 0, 0));
  }

  @Override
  public void cancel(long requestId, int attempt) {
    actions.add(new Action("cancel", requestId, 0, attempt));
  }

  @Override
  public void endSilentStream(long requestId, SilenceLimit limit) {
    actions.add(new Action("endSilentStream", requestId, 0, limit.minMicros()));
  }

  @Override
  public void releaseState(long requestId) {
    actions.add(new Action("release", requestId, 0, 0));
  }

  @Override
  public void setTimer(long token, long delayMicros) {
    actions.add(new Action("timer", token, 0, delayMicros));
  }

  @Override
  public void watchEndpoints() {
    actions.add(new Action("watch", 0, 0, 0));
  }

  @Override
  public void log(String line) {
    actions.add(new Action("log", 0, 0, line.hashCode()));
  }

  static RouterSettings settings(int maxAttempts, boolean mayCancel) {
    return settings(maxAttempts, mayCancel, 2);
  }

  static RouterSettings settings(int maxAttempts, boolean mayCancel, int gateways) {
    return RouterSettings.builder()
        .gatewayCount(gateways)
        .timerResolutionMicros(2_000)
        .classes(
            List.of(
                requestClass(Idempotency.IDEMPOTENT, 1).build(),
                requestClass(Idempotency.NON_IDEMPOTENT, 2).build(),
                requestClass(Idempotency.IDEMPOTENCY_KEY, 2)
                    .deduplicationScope(DeduplicationScope.CELL)
                    .deduplicationWindowMicros(SECOND)
                    .build()))
        .tenants(List.of(new Tenant(20), new Tenant(5)))
        .serverKinds(
            List.of(
                new ServerKind(ServerRole.READER, 200_000),
                new ServerKind(ServerRole.WRITER, 150_000),
                new ServerKind(ServerRole.MIXED, 200_000)))
        .limits(
            DeploymentLimits.builder()
                .maxAttempts(maxAttempts)
                .mayCancel(mayCancel)
                .sendsRetryAfter(true)
                .maxRetryAfterMicros(SECOND)
                .connectTimeoutMicros(250_000)
                .build())
        .rules(rules())
        .build();
  }

  private static RequestClass.Builder requestClass(Idempotency idempotency, double priorityWeight) {
    return RequestClass.builder()
        .latencyObjectiveMicros(SECOND)
        .objectiveMicrosPerThousandTokens(40_000)
        .deadlineMicros(5 * SECOND)
        .priorityWeight(priorityWeight)
        .latePriorityWeight(0.2)
        .idempotency(idempotency)
        .tokenIntervalObjectiveMicros(60_000);
  }

  private static ServiceRules rules() {
    return ServiceRules.builder()
        .answerSlackMicros(8_000)
        .drainGraceMicros(250_000)
        .slowStartInitialShare(0.3)
        .slowStartMicros(12 * SECOND)
        .overloadFactor(2.5)
        .overloadWindowMicros(2 * SECOND)
        .releaseWithinMicros(300_000)
        .build();
  }

  static ServerEntry newServer(
      long id, int kind, int cell, ServerLifecycle lifecycle, long startedAtMicros) {
    return ServerEntry.builder()
        .id(id)
        .zone(cell / 2)
        .kind(kind)
        .cell(cell)
        .lifecycle(lifecycle)
        .startedAtMicros(startedAtMicros)
        .build();
  }

  static ServerEntry readyServer(long id, int kind, int cell) {
    return newServer(id, kind, cell, ServerLifecycle.READY, 0);
  }

  static RoutingRequest newRequest(
      long id, int classId, long session, long prefix, int promptTokens) {
    return RoutingRequest.builder()
        .id(id)
        .classId(classId)
        .sessionId(session)
        .prefixId(prefix)
        .promptTokens(promptTokens)
        .prefixTokens(prefix == 0 ? 0 : promptTokens * 3 / 4)
        .maxAnswerTokens(200)
        .clientTimeoutMicros(4 * SECOND)
        .build();
  }
}
