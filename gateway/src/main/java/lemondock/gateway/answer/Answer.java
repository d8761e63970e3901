package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.gateway.engine.CompletionChunk;

/**
 * The states of one client's answer, which is made of requests to the engines (each a prefill and a
 * decode) with tool calls between them. It decides what an event leads to and does no I/O; {@link
 * AnswerActions} carries it out.
 *
 * <p>It keeps three promises. The answer ends once: every way out passes {@link #end}, which closes
 * all others. No tool call is relayed twice: tool calls are relayed when their request is complete;
 * a request that breaks before relays none, and one that is complete is never sent again. No token
 * comes twice or is missing: after a break the next request is given what was delivered and
 * continues behind it.
 *
 * <p>Not thread safe: its caller holds a lock, so that {@link #onText} may come from an I/O thread
 * and everything else from the loop.
 */
public final class Answer {
  private static final String DEFAULT_FINISH_REASON = "stop";
  private static final String TOKEN_LIMIT_FINISH_REASON = "length";

  private final AnswerActions actions;
  private final AnswerLimits limits;
  private final List<AnswerTurn> turns = new ArrayList<>();
  private final AnswerText text = new AnswerText();
  private final ToolCallAssembler toolCallParts = new ToolCallAssembler();
  private ToolCallResults toolCalls = new ToolCallResults(List.of());
  private State state = State.GENERATING;

  /** Why the engine ended the current request, empty while it has not. */
  private Optional<String> finishReason = Optional.empty();

  private int resumptions;
  private int relayedCallCount;

  /** Where an answer stands. */
  public enum State {
    /** A request is in flight. */
    GENERATING,
    /** Tool calls were relayed and not all have their results. */
    AWAITING_TOOLS,
    /** The answer has ended. */
    ENDED
  }

  /** Makes an answer; {@link #begin} starts it. */
  public Answer(AnswerActions actions, AnswerLimits limits) {
    this.actions = actions;
    this.limits = limits;
  }

  /** Starts the first request. */
  public void begin() {
    actions.startRequest(List.of(), "", limits.maxTokens(), false);
  }

  /** Where it stands. */
  public State state() {
    return state;
  }

  /** Tool calls whose results are awaited. */
  public List<ToolCall> pendingToolCalls() {
    return state == State.AWAITING_TOOLS ? toolCalls.pendingCalls() : List.of();
  }

  // Events of the request in flight.

  /** An event of the request's stream. */
  public void onChunk(CompletionChunk chunk) {
    if (state != State.GENERATING) {
      return;
    }
    for (CompletionChunk.ToolCallDelta delta : chunk.toolCalls()) {
      toolCallParts.add(delta);
    }
    if (toolCallParts.exceeds(limits)) {
      failForToolCallLimits();
      return;
    }
    if (chunk.finishReason().isPresent()) {
      finishReason = chunk.finishReason();
    }
    if (chunk.completionTokens() >= 0 || !chunk.text().isEmpty()) {
      deliver(chunk.text(), chunk.completionTokens());
    }
  }

  private void failForToolCallLimits() {
    actions.cancelRequest();
    fail(
        "the model called more than "
            + limits.maxToolCallsPerTurn()
            + " tools at once, or with arguments of more than "
            + limits.maxArgumentChars()
            + " characters");
  }

  /**
   * A piece of text and nothing else, as most of a stream is.
   *
   * @param completionTokens tokens of the request so far, -1 if the engine does not say
   * @return whether it was delivered; false if no request is in flight
   */
  public boolean onText(CharSequence piece, int completionTokens) {
    if (state == State.GENERATING) {
      deliver(piece, completionTokens);
      return true;
    }
    return false;
  }

  private void deliver(CharSequence piece, int completionTokens) {
    text.append(piece, completionTokens);
    if (!piece.isEmpty()) {
      actions.deliver(piece, text.tokens());
    }
  }

  /** The request is complete: the answer ends, or its tool calls are relayed. */
  public void onRequestCompleted() {
    if (state != State.GENERATING) {
      return;
    }
    List<ToolCall> calls = toolCallParts.toolCalls(turns.size());
    if (calls.isEmpty()) {
      end(AnswerOutcome.served(totals(), finishReason.orElse(DEFAULT_FINISH_REASON)));
    } else if (turns.size() >= limits.maxTurns()) {
      fail("the model called tools in more than " + limits.maxTurns() + " turns");
    } else if (!allNamedAndDistinct(calls)) {
      fail("the model called a tool without a name, or two under one id");
    } else {
      relay(calls);
    }
  }

  private static boolean allNamedAndDistinct(List<ToolCall> calls) {
    return calls.stream().noneMatch(call -> call.name().isEmpty())
        && calls.stream().map(ToolCall::id).distinct().count() == calls.size();
  }

  private void relay(List<ToolCall> calls) {
    state = State.AWAITING_TOOLS;
    toolCalls = new ToolCallResults(calls);
    for (ToolCall call : calls) {
      if (state == State.AWAITING_TOOLS) { // relaying one may end the answer
        relayedCallCount++;
        actions.relay(call);
      }
    }
  }

  /**
   * The stream broke: what was delivered is kept, tool calls that were not complete are dropped.
   */
  public void onStreamBroken(String reason) {
    if (state != State.GENERATING) {
      return;
    }
    if (!limits.mayResume()
        || resumptions >= limits.maxResumptions()
        || text.tokens() >= limits.maxTokens()) {
      fail("the answer broke: " + reason);
      return;
    }
    resumptions++;
    clearRequest();
    text.startRequest();
    actions.startRequest(List.copyOf(turns), text.turnText(), remainingTokens(), true);
  }

  /**
   * The request was rejected. Only if it is the first is the call rejected: later ones follow
   * tokens or tool calls.
   */
  public void onRejected(long retryAfterMicros) {
    if (state != State.GENERATING) {
      return;
    }
    boolean first = turns.isEmpty() && text.tokens() == 0 && resumptions == 0;
    if (first) {
      end(AnswerOutcome.rejected(retryAfterMicros, "refused: no room at present"));
    } else {
      fail("the answer could not be gone on with: no room at present");
    }
  }

  /** The request failed. */
  public void onFailed() {
    if (state == State.GENERATING) {
      fail("no server answered in time");
    }
  }

  // Results of tool calls.

  /**
   * The result of a tool call has come.
   *
   * @return whether it was taken; false if none is awaited under that id (unknown, answered before,
   *     or too late)
   */
  public boolean onToolResult(String callId, ToolResult result) {
    if (awaitedCall(callId).isEmpty()) {
      return false;
    }
    toolCalls.add(callId, result);
    if (toolCalls.isComplete()) {
      startNextTurn();
    }
    return true;
  }

  /** The time for a result is over: the model is told so in its place. */
  public void onToolTimeout(String callId) {
    Optional<ToolCall> call = awaitedCall(callId);
    if (call.isPresent()) {
      actions.withdraw(call.get(), "no result in time");
      onToolResult(callId, new ToolResult("the tool gave no result in time", true));
    }
  }

  private Optional<ToolCall> awaitedCall(String callId) {
    return state == State.AWAITING_TOOLS ? toolCalls.pendingCall(callId) : Optional.empty();
  }

  private void startNextTurn() {
    turns.add(new AnswerTurn(text.turnText(), toolCalls.calls(), toolCalls.ordered()));
    toolCalls = new ToolCallResults(List.of());
    clearRequest();
    text.startTurn();
    state = State.GENERATING;
    if (text.tokens() >= limits.maxTokens()) {
      end(AnswerOutcome.served(totals(), TOKEN_LIMIT_FINISH_REASON));
    } else {
      actions.startRequest(List.copyOf(turns), "", remainingTokens(), false);
    }
  }

  private void clearRequest() {
    toolCallParts.clear();
    finishReason = Optional.empty();
  }

  private int remainingTokens() {
    return limits.maxTokens() - text.tokens();
  }

  // The end.

  /** The client does not want it any more. */
  public void cancel(String reason) {
    if (state == State.ENDED) {
      return;
    }
    List<ToolCall> pendingCalls = pendingToolCalls();
    boolean generating = state == State.GENERATING;
    state = State.ENDED;
    pendingCalls.forEach(call -> actions.withdraw(call, reason));
    if (generating) {
      actions.cancelRequest();
    }
    actions.ended(AnswerOutcome.cancelled(totals(), reason));
  }

  private void fail(String message) {
    end(AnswerOutcome.failed(totals(), message));
  }

  private void end(AnswerOutcome outcome) {
    if (state != State.ENDED) {
      state = State.ENDED;
      actions.ended(outcome);
    }
  }

  private AnswerOutcome.Totals totals() {
    return new AnswerOutcome.Totals(text.text(), text.tokens(), turns.size(), relayedCallCount);
  }
}
