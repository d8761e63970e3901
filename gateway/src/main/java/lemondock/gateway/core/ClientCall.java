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
 * A client's call in progress: carries out what its {@link Answer} asks for. The answer is made of
 * one request to the engines or of several, with tool calls between them. Loop thread only.
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

  /** The dispatcher's id of the request sent last. */
  private long requestId;

  private int requestsSent;
  private boolean outputPaused;
  private boolean begun;
  private boolean deliveryBegun;
  private boolean cancelledByClient;

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

  /** Begins the answer, if it must be durable first, then once it is. */
  void start() {
    if (durable.isEmpty()) {
      begin();
    } else {
      durable.get().started(this::startCommitted);
    }
  }

  private void startCommitted(boolean isDurable) {
    if (answer.state() == Answer.State.ENDED) {
      return; // its client has cancelled it meanwhile
    }
    if (isDurable) {
      begin();
    } else {
      synchronized (sink.outputLock()) { // nothing was sent anywhere
        answer.onRejected(GatewaySettings.micros(context.settings().limits().retryAdviceMs()));
      }
    }
  }

  private void begin() {
    begun = true;
    synchronized (sink.outputLock()) {
      answer.begin();
    }
  }

  /** A tool's result; false if none is awaited under that id. */
  public boolean toolResult(String toolCallId, ToolResult result) {
    toolCalls.answered(toolCallId);
    ToolResult kept = withinLimit(result);
    synchronized (sink.outputLock()) {
      return answer.onToolResult(toolCallId, kept);
    }
  }

  private ToolResult withinLimit(ToolResult result) {
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

  /** Whether the result of that tool call is awaited; asked with the output lock held. */
  boolean awaits(ToolCall toolCall) {
    return answer.pendingToolCalls().contains(toolCall);
  }

  /** The client disconnected or cancelled the call; the sink hears nothing more. */
  public void cancel(String reason) {
    synchronized (sink.outputLock()) {
      cancelledByClient = true;
      answer.cancel(reason);
    }
  }

  /** Ends the call for a reason of the gateway's own; the sink hears of it. */
  void interrupt(String reason) {
    synchronized (sink.outputLock()) {
      if (answer.state() != Answer.State.ENDED) {
        answer.cancel(reason);
      }
    }
  }

  /** Stops reading the answer until {@link #resumeOutput}. */
  public void pauseOutput() {
    outputPaused = true;
    context.dispatcher().pauseOutput(requestId);
  }

  /** Reads the answer again. */
  public void resumeOutput() {
    outputPaused = false;
    context.dispatcher().resumeOutput(requestId);
  }

  // What the answer asks for.

  @Override
  public void startRequest(List<AnswerTurn> turns, String partial, int maxTokens, boolean resumed) {
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
            .resumed(resumed)
            .clientShard(sink.clientShard())
            .build();
    requestsSent++;
    requestId =
        context.dispatcher().submit(request, new AnswerRequestListener(answer, metrics, sink));
    if (outputPaused) {
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
    if (!deliveryBegun) {
      deliveryBegun = true;
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
    durable.ifPresent(guarded -> guarded.ended(outcome.kind(), begun));
    if (!cancelledByClient) {
      sink.ended(outcome);
    }
  }
}
