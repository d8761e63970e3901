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
 * Clients' calls in progress. It knows no front end: a front end hands it a {@link CallRequest} and
 * a {@link CallSink}, and hears there what is to be sent to the client. Loop thread only.
 */
public final class CallService {
  private static final int MIN_CONCURRENT_CALLS = 10;
  private static final int INITIAL_CONCURRENT_CALLS = 100;

  /** Latency up to so many times the least seen does not lower the limit of concurrent calls. */
  private static final double TOLERATED_LATENCY_RATIO = 1.5;

  private final GatewaySettings settings;
  private final GatewayMetrics metrics;
  private final OpenCalls openCalls = new OpenCalls();
  private final Optional<GradientLimit> gradientLimit;
  private final CallContext context;

  /** Empty where no call is remembered. */
  private Optional<IdempotencyGuard> guard = Optional.empty();

  /** Makes a service without calls. */
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
   * Whether another call may be accepted. Those that only wait for their clients' tools have a
   * limit of their own.
   */
  public boolean hasCapacity() {
    int limit = gradientLimit.map(GradientLimit::limit).orElse(settings.limits().maxCalls());
    return openCalls.size() - openCalls.waitingForTools() < limit;
  }

  /** Number of calls in progress. */
  public int size() {
    return openCalls.size();
  }

  /** Number of tool calls whose results have not come. */
  public long pendingToolCalls() {
    return openCalls.pendingToolCalls();
  }

  /** A call was rejected because the gateway is overloaded. */
  public void shedLoad(int classId, Optional<String> tenant, boolean clientRetry) {
    metrics.countLoadShed();
    metrics.requests().requestRejected(classId, tenant, clientRetry);
  }

  /** A call was rejected before it was accepted. */
  public void rejected(Prompt prompt, Optional<String> tenant, boolean clientRetry) {
    metrics.requests().requestRejected(prompt.classId(), tenant, clientRetry);
  }

  /** Has calls that must not run twice remembered; called before the first call. */
  public void setIdempotencyGuard(IdempotencyGuard guard) {
    this.guard = Optional.of(guard);
  }

  /**
   * What became of an earlier call under the client's key, if that keeps this call from running.
   */
  public Optional<CallStatus> blockingStatus(Prompt prompt, Optional<String> key) {
    return durableCall(prompt, key)
        .map(call -> call.guard().status(call.key()))
        .filter(status -> !status.mayRun());
  }

  /** The tool calls that were relayed for an earlier call under that key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    return guard.map(open -> open.relayedToolCalls(key)).orElse(List.of());
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

  /** Ends every call as failed, as when the time for a graceful shutdown is over. */
  public void interruptAll(String reason) {
    openCalls.all().forEach(call -> call.interrupt(reason));
  }

  /**
   * The session key of a conversation, the same at all gateways.
   *
   * @param conversation the client's name for it
   * @param callName unique to the call; used where the client names no conversation
   */
  public static long sessionKey(Optional<String> conversation, String callName) {
    return StableHash.of(
        conversation.map(name -> "conversation " + name).orElseGet(() -> "call " + callName));
  }
}
