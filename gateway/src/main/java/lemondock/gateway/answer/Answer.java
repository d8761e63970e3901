package lemondock.gateway.answer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.gateway.engine.CompletionChunk;

/**
 * The states of one client's answer, which is made of legs (each a read and a write) with tool
 * calls between them. It decides what an event leads to and does no I/O; {@link Actions} carries it
 * out.
 *
 * <p>Three promises rest on it. The answer ends once: every way out passes {@link #finish}, which
 * closes all others. No call is relayed twice: calls are relayed when their leg is whole, and a leg
 * that breaks before relays none, while one that is whole is never asked for again. No token comes
 * twice or is missing: after a break the next leg is given what was delivered and goes on behind
 * it.
 */
public final class Answer {
  private final Actions steps;
  private final Limits bounds;
  private final List<Turn> turns = new ArrayList<>();
  private final StringBuilder text = new StringBuilder();
  private final Map<Integer, PartialToolCall> pieces = new TreeMap<>();
  private final Map<String, ToolResult> results = new LinkedHashMap<>();
  private final StringBuilder legText = new StringBuilder();
  private State state = State.LEG;
  private List<ToolCall> waiting = List.of();
  private String finish;
  private int tokens;
  private int legTokens;
  private int legBase;
  private int resumptions;
  private int relayed;
  private int argumentBytes;

  /** Where an answer stands. */
  public enum State {
    /** A leg is under way. */
    LEG,
    /** Calls were relayed and not all have their results. */
    TOOLS,
    /** The answer has ended. */
    ENDED
  }

  /** How an answer ends. */
  public enum OutcomeKind {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  /**
   * What an answer may take.
   *
   * @param maxTokens tokens over all legs
   * @param maxTurns legs that end in tool calls
   * @param maxCalls tool calls of one turn
   * @param maxArgumentBytes characters of all arguments of one turn
   * @param maxResumptions legs begun anew after a break
   * @param mayResume whether a broken leg may be begun anew at all: its class is safe to repeat and
   *     streams resume
   */
  public record Limits(
      int maxTokens,
      int maxTurns,
      int maxCalls,
      int maxArgumentBytes,
      int maxResumptions,
      boolean mayResume) {}

  /**
   * One earlier turn: what the writer said, the calls it made and their results, in the order of
   * the calls.
   */
  public record Turn(String text, List<ToolCall> calls, List<ToolResult> results) {}

  /** Why and how it ended; {@code retryable} is the promise that nothing of it had an effect. */
  public record Outcome(
      OutcomeKind end,
      String text,
      int tokens,
      int turns,
      int calls,
      String finish,
      boolean retryable,
      long retryAfterMicros,
      String what) {}

  /** What an answer asks for. */
  public interface Actions {
    /**
     * Begins a leg: the client's prompt, then the turns, then, if {@code partial} is not empty,
     * what was delivered of this turn, to be gone on with.
     */
    void leg(List<Turn> turns, String partial, int maxTokens, boolean resumed);

    /** Delivers a piece of text, good until this returns; {@code tokens} counts all so far. */
    void deliver(CharSequence piece, int tokens);

    /** Relays a call to the client. */
    void relay(ToolCall call);

    /** Tells the client that a relayed call's result is not wanted any more. */
    void withdraw(ToolCall call, String why);

    /** Ends the leg under way, if there is one. */
    void leave();

    /** The one end. */
    void ended(Outcome ending);
  }

  private static final class PartialToolCall {
    private String id = "";
    private String name = "";
    private final StringBuilder arguments = new StringBuilder();
  }

  /** Makes an answer; {@link #begin} sets it going. */
  public Answer(Actions steps, Limits bounds) {
    this.steps = steps;
    this.bounds = bounds;
  }

  /** Asks for the first leg. */
  public void begin() {
    steps.leg(List.of(), "", bounds.maxTokens(), false);
  }

  /** Where it stands. */
  public State state() {
    return state;
  }

  /** Calls whose results are awaited. */
  public List<ToolCall> awaited() {
    return state != State.TOOLS
        ? List.of()
        : waiting.stream().filter(c -> !results.containsKey(c.id())).toList();
  }

  // ==== the leg

  /** A piece of the leg's stream. */
  public void chunk(CompletionChunk chunk) {
    if (state != State.LEG) {
      return;
    }
    for (CompletionChunk.ToolCallDelta part : chunk.calls()) {
      PartialToolCall piece = pieces.computeIfAbsent(part.index(), i -> new PartialToolCall());
      piece.id = part.id().isEmpty() ? piece.id : part.id();
      piece.name = part.name().isEmpty() ? piece.name : part.name();
      piece.arguments.append(part.arguments());
      argumentBytes += part.arguments().length();
    }
    if (pieces.size() > bounds.maxCalls() || argumentBytes > bounds.maxArgumentBytes()) {
      fail(
          "the model called more than "
              + bounds.maxCalls()
              + " tools at once, or with arguments of more than "
              + bounds.maxArgumentBytes()
              + " characters",
          true);
      return;
    }
    finish = chunk.finish() != null ? chunk.finish() : finish;
    if (chunk.answerTokens() >= 0 || !chunk.text().isEmpty()) {
      deliver(chunk.text(), chunk.answerTokens());
    }
  }

  /** A piece of text and nothing else, as most of a stream is; false if no leg is under way. */
  public boolean text(CharSequence piece, int answerTokens) {
    if (state == State.LEG) {
      deliver(piece, answerTokens);
      return true;
    }
    return false;
  }

  private void deliver(CharSequence piece, int answerTokens) {
    legTokens = answerTokens >= 0 ? Math.max(legTokens, answerTokens) : legTokens + 1;
    tokens = legBase + legTokens;
    if (!piece.isEmpty()) {
      text.append(piece);
      legText.append(piece);
      steps.deliver(piece, tokens);
    }
  }

  /** The leg is whole: the answer ends, or its calls are relayed. */
  public void served() {
    if (state != State.LEG) {
      return;
    }
    List<ToolCall> calls = new ArrayList<>();
    pieces.forEach(
        (index, p) ->
            calls.add(
                new ToolCall(
                    p.id.isEmpty() ? "call-" + turns.size() + "-" + index : p.id,
                    p.name,
                    p.arguments.toString())));
    if (calls.isEmpty()) {
      finish(
          new Outcome(
              OutcomeKind.SERVED,
              text.toString(),
              tokens,
              turns.size(),
              relayed,
              finish == null ? "stop" : finish,
              false,
              0,
              ""));
    } else if (turns.size() >= bounds.maxTurns()) {
      fail("the model called tools in more than " + bounds.maxTurns() + " turns", false);
    } else if (calls.stream().anyMatch(c -> c.name().isEmpty())
        || calls.stream().map(ToolCall::id).distinct().count() < calls.size()) {
      fail("the model called a tool without a name, or two under one id", false);
    } else {
      state = State.TOOLS;
      waiting = List.copyOf(calls);
      results.clear();
      for (ToolCall call : calls) {
        if (state == State.TOOLS) {
          relayed++;
          steps.relay(call);
        }
      }
    }
  }

  /** The stream broke: what was delivered is kept, calls that had not come whole are dropped. */
  public void broke(String what) {
    if (state != State.LEG) {
      return;
    }
    if (!bounds.mayResume()
        || resumptions >= bounds.maxResumptions()
        || tokens >= bounds.maxTokens()) {
      fail("the answer broke: " + what, false);
      return;
    }
    resumptions++;
    String partial = legText.toString();
    clearLeg();
    legText.append(partial);
    legBase = tokens;
    steps.leg(List.copyOf(turns), partial, bounds.maxTokens() - tokens, true);
  }

  /**
   * The leg was turned away. Only the first leg's refusal is the client's: later ones follow tokens
   * or calls.
   */
  public void refused(long retryAfterMicros) {
    if (state == State.LEG) {
      boolean first = turns.isEmpty() && tokens == 0 && resumptions == 0;
      if (first) {
        finish(
            new Outcome(
                OutcomeKind.REFUSED,
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

  /** The leg was given up. */
  public void failed() {
    if (state == State.LEG) {
      fail("no server answered in time", false);
    }
  }

  // ==== the tools

  /**
   * A result has come; false if its call does not wait for one (unknown, answered before, or over).
   */
  public boolean result(String callId, ToolResult result) {
    boolean awaited =
        state == State.TOOLS
            && waiting.stream().anyMatch(c -> c.id().equals(callId))
            && !results.containsKey(callId);
    if (awaited) {
      results.put(callId, result);
      if (results.size() == waiting.size()) {
        nextTurn();
      }
    }
    return awaited;
  }

  /** The time for a result is over: the model is told so in its place. */
  public void expired(String callId) {
    for (ToolCall call : waiting) {
      if (state == State.TOOLS && call.id().equals(callId) && !results.containsKey(callId)) {
        steps.withdraw(call, "no result in time");
        result(callId, new ToolResult("the tool gave no result in time", true));
        return;
      }
    }
  }

  private void nextTurn() {
    List<ToolResult> ordered = waiting.stream().map(c -> results.get(c.id())).toList();
    turns.add(new Turn(legText.toString(), waiting, ordered));
    waiting = List.of();
    results.clear();
    clearLeg();
    legBase = tokens;
    state = State.LEG;
    if (tokens >= bounds.maxTokens()) {
      finish(
          new Outcome(
              OutcomeKind.SERVED,
              text.toString(),
              tokens,
              turns.size(),
              relayed,
              "length",
              false,
              0,
              ""));
    } else {
      steps.leg(List.copyOf(turns), "", bounds.maxTokens() - tokens, false);
    }
  }

  private void clearLeg() {
    pieces.clear();
    legText.setLength(0);
    legTokens = 0;
    argumentBytes = 0;
    finish = null;
  }

  // ==== the end

  /** The client does not want it any more. */
  public void leave(String why) {
    if (state != State.ENDED) {
      List<ToolCall> open = state == State.TOOLS ? awaited() : List.of();
      boolean inLeg = state == State.LEG;
      state = State.ENDED;
      open.forEach(c -> steps.withdraw(c, why));
      if (inLeg) {
        steps.leave();
      }
      steps.ended(
          new Outcome(
              OutcomeKind.LEFT, text.toString(), tokens, turns.size(), relayed, "", false, 0, why));
    }
  }

  private void fail(String what, boolean legOpen) {
    if (legOpen) {
      steps.leave();
    }
    finish(
        new Outcome(
            OutcomeKind.FAILED,
            text.toString(),
            tokens,
            turns.size(),
            relayed,
            "",
            false,
            0,
            what));
  }

  private void finish(Outcome ending) {
    if (state != State.ENDED) {
      state = State.ENDED;
      steps.ended(ending);
    }
  }
}
