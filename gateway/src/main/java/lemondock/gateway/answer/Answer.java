package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.engine.CompletionChunk;

/**
 * The states of one client's answer, which is made of requests (each a read and a write) with tool
 * calls between them. It decides what an event leads to and does no I/O; {@link Actions} carries it
 * out.
 *
 * <p>Three promises rest on it. The answer ends once: every way out passes {@link #finishReason},
 * which closes all others. No call is relayed twice: calls are relayed when their request is whole,
 * and a request that breaks before relays none, while one that is whole is never asked for again.
 * No token comes twice or is missing: after a break the next request is given what was delivered
 * and goes on behind it.
 */
public final class Answer {
  private final Actions actions;
  private final Limits limits;
  private final List<Turn> turns = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private final Map<Integer, PartialToolCall> partialToolCalls = new TreeMap<>();
  private final Map<String, ToolResult> toolResults = new LinkedHashMap<>();
  private final StringBuilder turnText = new StringBuilder();
  private State state = State.GENERATING;
  private List<ToolCall> relayedCalls = List.of();
  private String finishReason;
  private int tokens;
  private int requestTokens;
  private int tokensBeforeRequest;
  private int resumptions;
  private int relayedCallCount;
  private int argumentChars;

  /** Where an answer stands. */
  public enum State {
    /** A request is in flight. */
    GENERATING,
    /** Calls were relayed and not all have their results. */
    AWAITING_TOOLS,
    /** The answer has ended. */
    ENDED
  }

  /** How an answer ends. */
  public enum OutcomeKind {
    SERVED,
    REJECTED,
    FAILED,
    CANCELLED
  }

  /**
   * What an answer may take.
   *
   * @param maxTokens tokens over all requests
   * @param maxTurns requests that end in tool calls
   * @param maxToolCallsPerTurn tool calls of one turn
   * @param maxArgumentChars characters of all arguments of one turn
   * @param maxResumptions requests begun anew after a break
   * @param mayResume whether a broken request may be begun anew at all: its class is safe to repeat
   *     and streams resume
   */
  public record Limits(
      int maxTokens,
      int maxTurns,
      int maxToolCallsPerTurn,
      int maxArgumentChars,
      int maxResumptions,
      boolean mayResume) {}

  /**
   * One earlier turn: what the writer said, the calls it made and their results, in the order of
   * the calls.
   */
  public record Turn(String text, List<ToolCall> calls, List<ToolResult> results) {}

  /** Why and how it ended; {@code retryable} is the promise that nothing of it had an effect. */
  public record Outcome(
      OutcomeKind kind,
      String text,
      int tokens,
      int turns,
      int toolCalls,
      String finishReason,
      boolean retryable,
      long retryAfterMicros,
      String message) {}

  /** What an answer asks for. */
  public interface Actions {
    /**
     * Begins a request: the client's prompt, then the turns, then, if {@code partial} is not empty,
     * what was delivered of this turn, to be gone on with.
     */
    void startRequest(List<Turn> turns, String partial, int maxTokens, boolean resumed);

    /** Delivers a piece of text, good until this returns; {@code tokens} counts all so far. */
    void deliver(CharSequence piece, int tokens);

    /** Relays a call to the client. */
    void relay(ToolCall call);

    /** Tells the client that a relayed call's result is not wanted any more. */
    void withdraw(ToolCall call, String why);

    /** Ends the request in flight, if there is one. */
    void cancelRequest();

    /** The one end. */
    void ended(Outcome ending);
  }

  private static final class PartialToolCall {
    private String id = "";
    private String name = "";
    private final StringBuilder arguments = new StringBuilder();
  }

  /** Makes an answer; {@link #begin} sets it going. */
  public Answer(Actions actions, Limits limits) {
    this.actions = actions;
    this.limits = limits;
  }

  /** Asks for the first request. */
  public void begin() {
    actions.startRequest(List.of(), "", limits.maxTokens(), false);
  }

  /** Where it stands. */
  public State state() {
    return state;
  }

  /** Calls whose results are awaited. */
  public List<ToolCall> pendingToolCalls() {
    return state != State.AWAITING_TOOLS
        ? List.of()
        : relayedCalls.stream().filter(c -> !toolResults.containsKey(c.id())).toList();
  }

  // ==== the request

  /** A piece of the request's stream. */
  public void onChunk(CompletionChunk chunk) {
    if (state != State.GENERATING) {
      return;
    }
    for (CompletionChunk.ToolCallDelta delta : chunk.toolCalls()) {
      PartialToolCall partial =
          partialToolCalls.computeIfAbsent(delta.index(), i -> new PartialToolCall());
      partial.id = delta.id().isEmpty() ? partial.id : delta.id();
      partial.name = delta.name().isEmpty() ? partial.name : delta.name();
      partial.arguments.append(delta.arguments());
      argumentChars += delta.arguments().length();
    }
    if (partialToolCalls.size() > limits.maxToolCallsPerTurn()
        || argumentChars > limits.maxArgumentChars()) {
      fail(
          "the model called more than "
              + limits.maxToolCallsPerTurn()
              + " tools at once, or with arguments of more than "
              + limits.maxArgumentChars()
              + " characters",
          true);
      return;
    }
    finishReason = chunk.finishReason() != null ? chunk.finishReason() : finishReason;
    if (chunk.completionTokens() >= 0 || !chunk.text().isEmpty()) {
      deliver(chunk.text(), chunk.completionTokens());
    }
  }

  /** A piece of text and nothing else, as most of a stream is; false if no request is in flight. */
  public boolean onText(CharSequence piece, int completionTokens) {
    if (state == State.GENERATING) {
      deliver(piece, completionTokens);
      return true;
    }
    return false;
  }

  private void deliver(CharSequence piece, int completionTokens) {
    requestTokens =
        completionTokens >= 0 ? Math.max(requestTokens, completionTokens) : requestTokens + 1;
    tokens = tokensBeforeRequest + requestTokens;
    if (!piece.isEmpty()) {
      text.append(piece);
      turnText.append(piece);
      actions.deliver(piece, tokens);
    }
  }

  /** The request is whole: the answer ends, or its calls are relayed. */
  public void onRequestCompleted() {
    if (state != State.GENERATING) {
      return;
    }
    List<ToolCall> calls = new ArrayList<>();
    partialToolCalls.forEach(
        (index, partial) ->
            calls.add(
                new ToolCall(
                    partial.id.isEmpty() ? "call-" + turns.size() + "-" + index : partial.id,
                    partial.name,
                    partial.arguments.toString())));
    if (calls.isEmpty()) {
      end(
          new Outcome(
              OutcomeKind.SERVED,
              text.toString(),
              tokens,
              turns.size(),
              relayedCallCount,
              finishReason == null ? "stop" : finishReason,
              false,
              0,
              ""));
    } else if (turns.size() >= limits.maxTurns()) {
      fail("the model called tools in more than " + limits.maxTurns() + " turns", false);
    } else if (calls.stream().anyMatch(call -> call.name().isEmpty())
        || calls.stream().map(ToolCall::id).distinct().count() < calls.size()) {
      fail("the model called a tool without a name, or two under one id", false);
    } else {
      state = State.AWAITING_TOOLS;
      relayedCalls = List.copyOf(calls);
      toolResults.clear();
      for (ToolCall call : calls) {
        if (state == State.AWAITING_TOOLS) {
          relayedCallCount++;
          actions.relay(call);
        }
      }
    }
  }

  /** The stream broke: what was delivered is kept, calls that had not come whole are dropped. */
  public void onStreamBroken(String reason) {
    if (state != State.GENERATING) {
      return;
    }
    if (!limits.mayResume()
        || resumptions >= limits.maxResumptions()
        || tokens >= limits.maxTokens()) {
      fail("the answer broke: " + reason, false);
      return;
    }
    resumptions++;
    String partial = turnText.toString();
    clearRequest();
    turnText.append(partial);
    tokensBeforeRequest = tokens;
    actions.startRequest(List.copyOf(turns), partial, limits.maxTokens() - tokens, true);
  }

  /**
   * The request was rejected. Only the first request's refusal is the client's: later ones follow
   * tokens or calls.
   */
  public void onRejected(long retryAfterMicros) {
    if (state == State.GENERATING) {
      boolean first = turns.isEmpty() && tokens == 0 && resumptions == 0;
      if (first) {
        end(
            new Outcome(
                OutcomeKind.REJECTED,
                "",
                0,
                0,
                0,
                "",
                true,
                retryAfterMicros,
                "refused: no room at present"));
      } else {
        fail("the answer could not be gone on with: no room at present", false);
      }
    }
  }

  /** The request was given up. */
  public void onFailed() {
    if (state == State.GENERATING) {
      fail("no server answered in time", false);
    }
  }

  // ==== the tools

  /**
   * A result has come; false if its call does not wait for one (unknown, answered before, or over).
   */
  public boolean onToolResult(String callId, ToolResult result) {
    boolean awaited =
        state == State.AWAITING_TOOLS
            && relayedCalls.stream().anyMatch(c -> c.id().equals(callId))
            && !toolResults.containsKey(callId);
    if (awaited) {
      toolResults.put(callId, result);
      if (toolResults.size() == relayedCalls.size()) {
        nextTurn();
      }
    }
    return awaited;
  }

  /** The time for a result is over: the model is told so in its place. */
  public void onToolTimeout(String callId) {
    for (ToolCall call : relayedCalls) {
      if (state == State.AWAITING_TOOLS
          && call.id().equals(callId)
          && !toolResults.containsKey(callId)) {
        actions.withdraw(call, "no result in time");
        onToolResult(callId, new ToolResult("the tool gave no result in time", true));
        return;
      }
    }
  }

  private void nextTurn() {
    List<ToolResult> ordered = relayedCalls.stream().map(c -> toolResults.get(c.id())).toList();
    turns.add(new Turn(turnText.toString(), relayedCalls, ordered));
    relayedCalls = List.of();
    toolResults.clear();
    clearRequest();
    tokensBeforeRequest = tokens;
    state = State.GENERATING;
    if (tokens >= limits.maxTokens()) {
      end(
          new Outcome(
              OutcomeKind.SERVED,
              text.toString(),
              tokens,
              turns.size(),
              relayedCallCount,
              "length",
              false,
              0,
              ""));
    } else {
      actions.startRequest(List.copyOf(turns), "", limits.maxTokens() - tokens, false);
    }
  }

  private void clearRequest() {
    partialToolCalls.clear();
    turnText.setLength(0);
    requestTokens = 0;
    argumentChars = 0;
    finishReason = null;
  }

  // ==== the end

  /** The client does not want it any more. */
  public void cancel(String reason) {
    if (state != State.ENDED) {
      List<ToolCall> open = state == State.AWAITING_TOOLS ? pendingToolCalls() : List.of();
      boolean generating = state == State.GENERATING;
      state = State.ENDED;
      open.forEach(call -> actions.withdraw(call, reason));
      if (generating) {
        actions.cancelRequest();
      }
      actions.ended(
          new Outcome(
              OutcomeKind.CANCELLED,
              text.toString(),
              tokens,
              turns.size(),
              relayedCallCount,
              "",
              false,
              0,
              reason));
    }
  }

  private void fail(String message, boolean requestOpen) {
    if (requestOpen) {
      actions.cancelRequest();
    }
    end(
        new Outcome(
            OutcomeKind.FAILED,
            text.toString(),
            tokens,
            turns.size(),
            relayedCallCount,
            "",
            false,
            0,
            message));
  }

  private void end(Outcome outcome) {
    if (state != State.ENDED) {
      state = State.ENDED;
      actions.ended(outcome);
    }
  }
}
