package lemondock.gateway.core;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import lemondock.dispatch.DispatchedRequest;
import lemondock.gateway.accounting.CallMetrics;
import lemondock.gateway.answer.Answer;
import lemondock.gateway.answer.AnswerActions;
import lemondock.gateway.answer.AnswerLimits;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.answer.AnswerTurn;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.ToolCall;
import lemondock.gateway.answer.ToolResult;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;

/**
 * A client's call in progress; carries out the decisions of its {@link Answer}. The answer consists
 * of one or more requests to the engines, with tool calls between them. Loop thread only, except
 * for {@link #deliver}, which an I/O thread may also call with the output lock held.
 */
public final class ClientCall implements AnswerActions {
  private final CallContext context;
  private final Loop loop;
  private final Prompt prompt;
  private final long sessionKey;
  private final boolean clientRetry;
  private final Optional<DurableCall> durable;
  private final CallSink sink;
  private final GatewaySettings.ClassSettings requestClass;
  private final CallMetrics metrics;
  private final Loop.Timer objectiveTimer;
  private final ToolCallRelay toolCalls;
  private final Answer answer;
  private final long acceptedAtMicros;

  /** The dispatcher's id of the most recent request. */
  private long requestId;

  private int requestsSent;
  private boolean isOutputPaused;
  private boolean hasBegun;
  private boolean hasDeliveryBegun;
  private boolean isCancelledByClient;

  ClientCall(
      CallContext context, CallRequest request, Optional<DurableCall> durable, CallSink sink) {
    this.context = context;
    this.loop = context.loop();
    this.acceptedAtMicros = loop.now();
    this.prompt = request.prompt();
    this.sessionKey = request.sessionKey();
    this.clientRetry = request.clientRetry();
    this.durable = durable;
    this.sink = sink;
    this.requestClass = context.settings().classes().get(prompt.classId());
    this.metrics =
        context
            .metrics()
            .requests()
            .requestAccepted(
                prompt.classId(),
                request.tenant(),
                clientRetry,
                prompt.size().tokens(),
                loop.now());
    this.objectiveTimer =
        loop.schedule(metrics.latencyObjectiveMicros(), metrics::onObjectivePassed);
    this.toolCalls = new ToolCallRelay(this, sink, metrics, durable, context);
    this.answer = new Answer(this, answerLimits());
  }

  private AnswerLimits answerLimits() {
    GatewaySettings settings = context.settings();
    boolean idempotent = requestClass.isIdempotent();
    return new AnswerLimits(
        prompt.maxTokens(),
        requestClass.maxTurns(),
        requestClass.maxToolCallsPerTurn(),
        requestClass.maxToolArgumentBytes(),
        settings.limits().maxResumptions(),
        settings.streamsResume() && idempotent);
  }

  GatewaySettings.ClassSettings requestClass() {
    return requestClass;
  }

  int requestsSent() {
    return requestsSent;
  }

  /** Begins the answer; a durable call begins only after its start has been committed. */
  void start() {
    if (durable.isEmpty()) {
      begin();
    } else {
      durable.get().started(this::onStartCommitted);
    }
  }

  private void onStartCommitted(boolean isDurable) {
    if (answer.state() == Answer.State.ENDED) {
      return; // the call was cancelled during the commit
    }
    if (isDurable) {
      begin();
    } else {
      synchronized (sink.outputLock()) { // no request was sent, so a retry is safe
        answer.onRejected(GatewaySettings.micros(context.settings().limits().retryAdviceMs()));
      }
    }
  }

  private void begin() {
    hasBegun = true;
    synchronized (sink.outputLock()) {
      answer.begin();
    }
  }

  /**
   * Passes the result of a tool call to the answer.
   *
   * @return whether the result was accepted; false if no result is awaited for this id
   */
  public boolean receiveToolResult(String toolCallId, ToolResult result) {
    toolCalls.resultReceived(toolCallId);
    ToolResult boundedResult = limitSize(result);
    synchronized (sink.outputLock()) {
      return answer.onToolResult(toolCallId, boundedResult);
    }
  }

  private ToolResult limitSize(ToolResult result) {
    int maxChars = requestClass.maxToolResultBytes();
    return result.text().length() <= maxChars
        ? result
        : new ToolResult("the tool's result was larger than " + maxChars + " characters", true);
  }

  void toolTimedOut(String toolCallId) {
    synchronized (sink.outputLock()) {
      answer.onToolTimeout(toolCallId);
    }
  }

  /** Whether the result of a tool call is outstanding; called with the output lock held. */
  boolean isAwaitingResult(ToolCall toolCall) {
    return answer.pendingToolCalls().contains(toolCall);
  }

  /** Cancels the call because its client disconnected or cancelled it; the sink is not notified. */
  public void cancel(String reason) {
    synchronized (sink.outputLock()) {
      isCancelledByClient = true;
      answer.cancel(reason);
    }
  }

  /** Cancels the call on behalf of the gateway; the sink is notified of the end. */
  void interrupt(String reason) {
    synchronized (sink.outputLock()) {
      if (answer.state() != Answer.State.ENDED) {
        answer.cancel(reason);
      }
    }
  }

  /** Pauses reading the answer from the engine until {@link #resumeOutput} is called. */
  public void pauseOutput() {
    isOutputPaused = true;
    context.dispatcher().pauseOutput(requestId);
  }

  /** Resumes reading the answer from the engine. */
  public void resumeOutput() {
    isOutputPaused = false;
    context.dispatcher().resumeOutput(requestId);
  }

  // Decisions of the answer.

  @Override
  public void startRequest(
      List<AnswerTurn> turns, String partial, int maxTokens, boolean isResumed) {
    toolCalls.setWaitingForTools(false);
    String model = context.settings().engines().model();
    ObjectNode body = CompletionRequestBody.of(model, prompt, turns, partial);
    int promptTokens = CompletionRequestBody.estimatedTokens(prompt, turns, partial);
    DispatchedRequest<ObjectNode> request =
        DispatchedRequest.builder(body)
            .classId(prompt.classId())
            .sessionKey(sessionKey)
            .prefix(prompt.size().prefixKey(), prompt.size().prefixTokens())
            .promptTokens(promptTokens)
            .maxAnswerTokens(maxTokens)
            .firstTokenTimeoutMicros(requestClass.deadlineMicros(promptTokens))
            .clientRetry(clientRetry && requestsSent == 0)
            .resumed(isResumed)
            .clientShard(sink.clientShard())
            .build();
    requestsSent++;
    requestId =
        context.dispatcher().submit(request, new AnswerRequestListener(answer, metrics, sink));
    if (isOutputPaused) {
      context.dispatcher().pauseOutput(requestId);
    }
  }

  @Override
  public void cancelRequest() {
    context.dispatcher().cancelRequest(requestId);
  }

  @Override
  public void deliver(CharSequence piece, int tokens) {
    metrics.onDelivered(loop.now());
    if (!hasDeliveryBegun) {
      hasDeliveryBegun = true;
      long latencyMicros = loop.now() - acceptedAtMicros;
      context
          .gradientLimit()
          .ifPresent(limit -> limit.recordFirstToken(latencyMicros, context.openCalls().size()));
    }
    sink.deliver(piece, tokens);
  }

  @Override
  public void relay(ToolCall toolCall) {
    toolCalls.relay(toolCall);
  }

  @Override
  public void withdraw(ToolCall toolCall, String reason) {
    toolCalls.withdraw(toolCall, reason);
  }

  @Override
  public void ended(AnswerOutcome outcome) {
    objectiveTimer.cancel();
    metrics.onEnded(loop.now(), outcome);
    toolCalls.cancelTimeouts();
    context.openCalls().remove(this);
    toolCalls.setWaitingForTools(false);
    durable.ifPresent(durableCall -> durableCall.ended(outcome.kind(), hasBegun));
    if (!isCancelledByClient) {
      sink.ended(outcome);
    }
  }
}
