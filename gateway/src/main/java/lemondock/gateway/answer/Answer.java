package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.gateway.engine.CompletionChunk;

/**
 * The state machine of one client's answer. An answer consists of one or more requests to the
 * engines (each a prefill and a decode) with tool calls between them. This class decides how to
 * react to each event and does no I/O; {@link AnswerActions} carries out its decisions.
 *
 * <p>It guarantees three invariants:
 *
 * <ul>
 *   <li>The answer ends exactly once: {@link #end} and {@link #cancel} do nothing after the end.
 *   <li>No tool call is relayed twice: tool calls are relayed only when their request is complete.
 *       A request that is interrupted earlier relays none, and a complete request is never resent.
 *   <li>No token is duplicated or lost: after an interruption, the next request is given the text
 *       that was delivered and continues after it.
 * </ul>
 *
 * <p>Not thread-safe: the caller holds a lock, so that {@link #onText} may be called on an I/O
 * thread and all other methods on the loop thread.
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

  /** The engine's finish reason for the current request; empty until it is received. */
  private Optional<String> finishReason = Optional.empty();

  private int resumptions;
  private int relayedCallCount;

  /** The state of an answer. */
  public enum State {
    /** A request is in flight. */
    GENERATING,
    /** Tool calls were relayed and at least one result is outstanding. */
    AWAITING_TOOLS,
    /** The answer has ended. */
    ENDED
  }

  /** Creates an answer; {@link #begin} sends its first request. */
  public Answer(AnswerActions actions, AnswerLimits limits) {
    this.actions = actions;
    this.limits = limits;
  }

  /** Starts the first request; called once. */
  public void begin() {
    actions.startRequest(List.of(), "", limits.maxTokens(), false);
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** Relayed tool calls whose results are outstanding. */
  public List<ToolCall> pendingToolCalls() {
    return state == State.AWAITING_TOOLS ? toolCalls.pendingCalls() : List.of();
  }

  // Events of the request in flight. Ignored if none is in flight.

  /** Handles an event of the request's stream. */
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
   * Handles an event that contains only text, as most events of a stream do.
   *
   * @param completionTokens tokens of the request so far; -1 if the engine does not report them
   * @return whether the text was delivered; false if no request is in flight
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

  /** Handles the completion of the request: ends the answer or relays the tool calls. */
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
      if (state == State.AWAITING_TOOLS) { // relaying a call may end the answer
        relayedCallCount++;
        actions.relay(call);
      }
    }
  }

  /**
   * Handles an interruption of the stream: resumes the answer with a new request if the limits
   * allow it. The delivered text is kept; tool calls of the interrupted request are dropped.
   */
  public void onStreamInterrupted(String reason) {
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
   * Handles a rejection of the request. The call is rejected only if this is its first request;
   * otherwise it fails, because tokens or tool calls may already have been sent to the client.
   *
   * @param retryAfterMicros advised delay before a retry; 0 for no advice
   */
  public void onRejected(long retryAfterMicros) {
    if (state != State.GENERATING) {
      return;
    }
    boolean isFirstRequest = turns.isEmpty() && text.tokens() == 0 && resumptions == 0;
    if (isFirstRequest) {
      end(AnswerOutcome.rejected(retryAfterMicros, "refused: no room at present"));
    } else {
      fail("the answer could not be gone on with: no room at present");
    }
  }

  /** Handles a failure of the request before its first event. */
  public void onFailed() {
    if (state == State.GENERATING) {
      fail("no server answered in time");
    }
  }

  // Results of tool calls.

  /**
   * Handles the result of a tool call; the last outstanding result starts the next turn.
   *
   * @return whether the result was accepted; false if no result is awaited for this id (unknown,
   *     already answered, or too late)
   */
  public boolean onToolResult(String callId, ToolResult result) {
    if (findPendingCall(callId).isEmpty()) {
      return false;
    }
    toolCalls.add(callId, result);
    if (toolCalls.isComplete()) {
      startNextTurn();
    }
    return true;
  }

  /** Handles the timeout of a tool call: the model receives an error as its result. */
  public void onToolTimeout(String callId) {
    Optional<ToolCall> call = findPendingCall(callId);
    if (call.isPresent()) {
      actions.withdraw(call.get(), "no result in time");
      onToolResult(callId, new ToolResult("the tool gave no result in time", true));
    }
  }

  private Optional<ToolCall> findPendingCall(String callId) {
    return state == State.AWAITING_TOOLS ? toolCalls.findPendingCall(callId) : Optional.empty();
  }

  private void startNextTurn() {
    turns.add(new AnswerTurn(text.turnText(), toolCalls.calls(), toolCalls.inCallOrder()));
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

  // End of the answer.

  /** Cancels the answer: withdraws pending tool calls and cancels the request in flight. */
  public void cancel(String reason) {
    if (state == State.ENDED) {
      return;
    }
    List<ToolCall> pendingCalls = pendingToolCalls();
    boolean isGenerating = state == State.GENERATING;
    state = State.ENDED;
    pendingCalls.forEach(call -> actions.withdraw(call, reason));
    if (isGenerating) {
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
