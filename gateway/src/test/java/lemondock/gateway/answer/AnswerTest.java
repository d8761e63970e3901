package lemondock.gateway.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import lemondock.gateway.engine.CompletionChunk;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The states of an answer. */
class AnswerTest {
  private static final AnswerLimits LIMITS = new AnswerLimits(30, 3, 4, 200, 2, true);

  /** Writes down every step. */
  private static final class Log implements AnswerActions {
    private final List<String> steps = new ArrayList<>();
    private final List<AnswerOutcome> outcomes = new ArrayList<>();
    private final StringBuilder delivered = new StringBuilder();
    private final List<String> relayed = new ArrayList<>();
    private int requests;
    private int openRequests;
    private String partial = "";
    private int lastTokens;

    @Override
    public void startRequest(
        List<AnswerTurn> turns, String givenPartial, int maxTokens, boolean resumed) {
      assertEquals(0, openRequests++, "two requests at a time");
      assertTrue(maxTokens > 0);
      requests++;
      partial = givenPartial;
      steps.add(
          "request "
              + turns.size()
              + " '"
              + givenPartial
              + "' "
              + maxTokens
              + (resumed ? " resumed" : ""));
    }

    @Override
    public void deliver(CharSequence piece, int tokens) {
      assertTrue(tokens >= lastTokens);
      lastTokens = tokens;
      delivered.append(piece);
    }

    @Override
    public void relay(ToolCall call) {
      relayed.add(call.id() + "/" + requests);
      steps.add("relay " + call.name() + call.arguments());
    }

    @Override
    public void withdraw(ToolCall call, String reason) {
      steps.add("withdraw " + call.id());
    }

    @Override
    public void cancelRequest() {
      openRequests--;
      steps.add("cancel");
    }

    @Override
    public void ended(AnswerOutcome outcome) {
      outcomes.add(outcome);
    }
  }

  private final Log log = new Log();
  private Answer answer = new Answer(log, LIMITS);

  private static CompletionChunk text(String piece) {
    return CompletionChunk.ofText(piece);
  }

  private static CompletionChunk call(int index, String id, String name, String arguments) {
    return CompletionChunk.ofToolCall(
        new CompletionChunk.ToolCallDelta(index, id, name, arguments));
  }

  private static CompletionChunk finish(String reason) {
    return CompletionChunk.ofFinishReason(reason);
  }

  private void completeRequest() {
    log.openRequests--;
    answer.onRequestCompleted();
  }

  private void breakStream() {
    log.openRequests--;
    answer.onStreamBroken("cut");
  }

  @Test
  void textIsServedOnce() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(finish("stop"));
    completeRequest();
    assertEquals(
        List.of(
            new AnswerOutcome(
                AnswerOutcome.Kind.SERVED, new AnswerOutcome.Totals("ab", 2, 0, 0), "stop", 0, "")),
        log.outcomes);
    assertFalse(log.outcomes.get(0).retryable());
    answer.onChunk(text("c"));
    answer.onRequestCompleted();
    answer.cancel("late");
    assertEquals(1, log.outcomes.size());
  }

  @Test
  void partsBecomeToolCallsAndTheirResultsTheNextTurn() {
    answer.begin();
    answer.onChunk(text("x"));
    answer.onChunk(call(0, "c1", "stock", "{\"a\""));
    answer.onChunk(call(1, "c2", "price", ""));
    answer.onChunk(call(0, "", "", ":1}"));
    answer.onChunk(finish("tool_calls"));
    completeRequest();
    assertEquals(List.of("request 0 '' 30", "relay stock{\"a\":1}", "relay price"), log.steps);
    assertTrue(answer.onToolResult("c2", new ToolResult("two", false)));
    assertFalse(answer.onToolResult("c2", new ToolResult("again", false)));
    assertFalse(answer.onToolResult("c9", new ToolResult("unknown", false)));
    assertTrue(answer.onToolResult("c1", new ToolResult("one", false)));
    assertEquals("request 1 '' 29", log.steps.get(3));
    assertFalse(answer.onToolResult("c1", new ToolResult("late", false)));
  }

  @Test
  void aResumedRequestContinuesBehindWhatWasDelivered() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(call(0, "c1", "stock", "{"));
    breakStream();
    assertEquals("request 0 'ab' 28 resumed", log.steps.get(1));
    answer.onChunk(text("c"));
    answer.onChunk(call(0, "c1", "stock", "{}"));
    completeRequest();
    assertEquals(List.of("c1/2"), log.relayed);
    assertEquals("abc", log.delivered.toString());
  }

  @Test
  void aBrokenStreamIsResumedUpToTheLimit() {
    answer.begin();
    for (int i = 0; i < 3; i++) {
      answer.onChunk(text("a"));
      breakStream();
    }
    assertEquals(AnswerOutcome.Kind.FAILED, log.outcomes.get(0).kind());
    assertEquals(3, log.requests);
  }

  @Test
  void aNonIdempotentAnswerIsNotResumed() {
    answer = new Answer(log, new AnswerLimits(30, 3, 4, 200, 2, false));
    answer.begin();
    answer.onChunk(text("a"));
    breakStream();
    assertEquals(AnswerOutcome.Kind.FAILED, log.outcomes.get(0).kind());
    assertFalse(log.outcomes.get(0).retryable());
  }

  @Test
  void onlyTheFirstRequestsRejectionRejectsTheCall() {
    answer.begin();
    answer.onRejected(5);
    assertEquals(AnswerOutcome.Kind.REJECTED, log.outcomes.get(0).kind());
    assertTrue(log.outcomes.get(0).retryable());
    Log second = new Log();
    Answer later = new Answer(second, LIMITS);
    later.begin();
    later.onChunk(call(0, "c", "t", "{}"));
    second.openRequests--;
    later.onRequestCompleted();
    later.onToolResult("c", new ToolResult("", false));
    later.onRejected(5);
    assertEquals(AnswerOutcome.Kind.FAILED, second.outcomes.get(0).kind());
    assertFalse(second.outcomes.get(0).retryable());
  }

  @Test
  void theModelHearsOfAToolThatTimedOut() {
    answer.begin();
    answer.onChunk(call(0, "c", "t", "{}"));
    completeRequest();
    answer.onToolTimeout("c");
    assertEquals(List.of("withdraw c", "request 1 '' 30"), log.steps.subList(2, 4));
    assertFalse(answer.onToolResult("c", new ToolResult("late", false)));
  }

  @Test
  void tooManyToolCallsFailAnAnswer() {
    answer.begin();
    for (int i = 0; i < 5; i++) {
      answer.onChunk(call(i, "c" + i, "t", "{}"));
    }
    assertEquals(AnswerOutcome.Kind.FAILED, log.outcomes.get(0).kind());
    assertTrue(log.steps.contains("cancel"));
  }

  /** Any order of events, sensible or not, keeps the three promises. */
  @Property(tries = 20_000, seed = "20261201")
  void anySequenceKeepsThePromises(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Log seen = new Log();
    Answer any = new Answer(seen, LIMITS);
    any.begin();
    int callNumber = 0;
    int word = 0;
    StringBuilder wanted = new StringBuilder();
    Set<String> taken = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      boolean requestOpen = seen.openRequests > 0;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> {
          if (requestOpen) {
            String piece = "w" + word++ + " ";
            wanted.append(piece);
            any.onChunk(text(piece));
          }
        }
        case 4, 5 -> {
          if (requestOpen) {
            any.onChunk(call(random.nextInt(3), "c" + callNumber++, "t", "{}"));
          }
        }
        case 6, 7 -> {
          if (requestOpen) {
            seen.openRequests--;
            any.onRequestCompleted();
          }
        }
        case 8 -> {
          if (requestOpen) {
            seen.openRequests--;
            any.onStreamBroken("cut");
          }
        }
        case 9 -> {
          String id = "c" + random.nextInt(callNumber + 1);
          if (any.onToolResult(id, new ToolResult("r", false))) {
            assertTrue(taken.add(id + "/" + seen.relayed.size()), "a result taken twice");
          }
        }
        case 10 -> any.onToolTimeout("c" + random.nextInt(callNumber + 1));
        default -> {
          if (random.nextInt(20) == 0) {
            any.cancel("gone");
          } else if (requestOpen && random.nextInt(10) == 0) {
            seen.openRequests--;
            any.onFailed();
          }
        }
      }
      assertTrue(seen.outcomes.size() <= 1, "two outcomes");
      assertEquals(any.state() == Answer.State.ENDED, seen.outcomes.size() == 1);
      assertEquals(
          any.state() == Answer.State.GENERATING,
          seen.openRequests == 1,
          "a request is open exactly while one is awaited");
      assertEquals(any.state() == Answer.State.AWAITING_TOOLS, !any.pendingToolCalls().isEmpty());
      assertEquals(new HashSet<>(seen.relayed).size(), seen.relayed.size(), "a call relayed twice");
      assertEquals(wanted.toString(), seen.delivered.toString());
      if (seen.outcomes.size() == 1) {
        assertEquals(wanted.toString(), seen.outcomes.get(0).totals().text());
        return;
      }
    }
  }
}
