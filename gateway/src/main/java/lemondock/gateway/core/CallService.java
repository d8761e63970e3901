package lemondock.gateway.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import lemondock.dispatch.RequestDispatcher;
import lemondock.dispatch.StableHash;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.RelayedToolCall;
import lemondock.net.Loop;
import lemondock.overload.GradientLimit;
import lemondock.overload.StallMonitor;

/**
 * Accepts clients' calls and tracks those in progress. It does not depend on a front end: a front
 * end passes a {@link CallRequest} and a {@link CallSink}, and the sink receives what must be sent
 * to the client. Loop thread only.
 */
public final class CallService {
  private static final int MIN_CONCURRENT_CALLS = 10;
  private static final int INITIAL_CONCURRENT_CALLS = 100;

  /**
   * Multiple of the long-term average latency up to which the limit of concurrent calls is not
   * lowered.
   */
  private static final double TOLERATED_LATENCY_RATIO = 1.5;

  private final GatewaySettings settings;
  private final GatewayMetrics metrics;
  private final OpenCalls openCalls = new OpenCalls();
  private final Optional<GradientLimit> gradientLimit;
  private final CallContext context;

  /** Empty if the gateway keeps no idempotency log. */
  private Optional<IdempotencyGuard> guard = Optional.empty();

  /** Creates a service without calls. */
  public CallService(
      Loop loop,
      RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher,
      GatewaySettings settings,
      GatewayMetrics metrics,
      StallMonitor stallMonitor) {
    this.settings = settings;
    this.metrics = metrics;
    this.gradientLimit =
        settings.overload().gradient()
            ? Optional.of(
                new GradientLimit(
                    MIN_CONCURRENT_CALLS,
                    INITIAL_CONCURRENT_CALLS,
                    settings.limits().maxCalls(),
                    TOLERATED_LATENCY_RATIO))
            : Optional.empty();
    this.context =
        new CallContext(
            loop, dispatcher, settings, metrics, stallMonitor, openCalls, gradientLimit);
  }

  /**
   * Whether another call may be accepted. Calls that only wait for their clients' tools are not
   * counted here; they have a separate limit.
   */
  public boolean hasCapacity() {
    int limit = gradientLimit.map(GradientLimit::limit).orElse(settings.limits().maxCalls());
    return openCalls.size() - openCalls.waitingForTools() < limit;
  }

  /** Number of calls in progress. */
  public int size() {
    return openCalls.size();
  }

  /** Number of relayed tool calls whose results are outstanding. */
  public long pendingToolCalls() {
    return openCalls.pendingToolCalls();
  }

  /** Counts a call that was rejected because the gateway is overloaded. */
  public void recordLoadShed(int classId, Optional<String> tenant, boolean clientRetry) {
    metrics.countLoadShed();
    metrics.requests().requestRejected(classId, tenant, clientRetry);
  }

  /** Counts a call that was rejected for another reason before it was accepted. */
  public void recordRejected(Prompt prompt, Optional<String> tenant, boolean clientRetry) {
    metrics.requests().requestRejected(prompt.classId(), tenant, clientRetry);
  }

  /** Enables deduplication of non-idempotent calls; must be set before a call is accepted. */
  public void setIdempotencyGuard(IdempotencyGuard guard) {
    this.guard = Optional.of(guard);
  }

  /**
   * The status of an earlier call with the same idempotency key if it prevents this call from
   * running; otherwise empty.
   */
  public Optional<CallStatus> blockingStatus(Prompt prompt, Optional<String> key) {
    return durableCall(prompt, key)
        .map(call -> call.guard().status(call.key()))
        .filter(status -> !status.mayRun());
  }

  /** The tool calls that were relayed for an earlier call with an idempotency key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    return guard.map(presentGuard -> presentGuard.relayedToolCalls(key)).orElse(List.of());
  }

  private Optional<DurableCall> durableCall(Prompt prompt, Optional<String> key) {
    boolean idempotent = settings.classes().get(prompt.classId()).isIdempotent();
    return guard.isPresent() && key.isPresent() && !idempotent
        ? Optional.of(new DurableCall(guard.get(), key.get()))
        : Optional.empty();
  }

  /** Accepts a call and starts it. */
  public ClientCall start(CallRequest request, CallSink sink) {
    Optional<DurableCall> durable = durableCall(request.prompt(), request.idempotencyKey());
    ClientCall call = new ClientCall(context, request, durable, sink);
    openCalls.add(call);
    sink.accepted(call);
    call.start();
    return call;
  }

  /** Interrupts every call, for example when the time for a graceful shutdown is over. */
  public void interruptAll(String reason) {
    openCalls.snapshot().forEach(call -> call.interrupt(reason));
  }

  /**
   * The session key of a conversation; all gateways compute the same key.
   *
   * @param conversation the client's name for the conversation; empty if it gave none
   * @param callName a name that is unique to the call; used if the client names no conversation
   */
  public static long sessionKey(Optional<String> conversation, String callName) {
    return StableHash.of(
        conversation.map(name -> "conversation " + name).orElseGet(() -> "call " + callName));
  }
}
