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

/** Tests the state machine of an answer. */
class AnswerTest {
  private static final AnswerLimits LIMITS = new AnswerLimits(30, 3, 4, 200, 2, true);

  /** Records every decision of an answer. */
  private static final class RecordingActions implements AnswerActions {
    private final List<String> steps = new ArrayList<>();
    private final List<AnswerOutcome> outcomes = new ArrayList<>();
    private final StringBuilder delivered = new StringBuilder();
    private final List<String> relayed = new ArrayList<>();
    private int requests;
    private int openRequests;
    private String lastPartial = "";
    private int lastTokens;

    @Override
    public void startRequest(
        List<AnswerTurn> turns, String partial, int maxTokens, boolean isResumed) {
      assertEquals(0, openRequests++, "more than one request in flight");
      assertTrue(maxTokens > 0);
      requests++;
      lastPartial = partial;
      steps.add(
          "request "
              + turns.size()
              + " '"
              + partial
              + "' "
              + maxTokens
              + (isResumed ? " resumed" : ""));
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

  private final RecordingActions actions = new RecordingActions();
  private Answer answer = new Answer(actions, LIMITS);

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
    actions.openRequests--;
    answer.onRequestCompleted();
  }

  private void interruptStream() {
    actions.openRequests--;
    answer.onStreamInterrupted("cut");
  }

  @Test
  void servesTextAndEndsOnce() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(finish("stop"));
    completeRequest();
    assertEquals(
        List.of(
            new AnswerOutcome(
                AnswerOutcome.Kind.SERVED, new AnswerOutcome.Totals("ab", 2, 0, 0), "stop", 0, "")),
        actions.outcomes);
    assertFalse(actions.outcomes.get(0).isRetryable());
    answer.onChunk(text("c"));
    answer.onRequestCompleted();
    answer.cancel("late");
    assertEquals(1, actions.outcomes.size());
  }

  @Test
  void assemblesToolCallsAndStartsNextTurnWithTheirResults() {
    answer.begin();
    answer.onChunk(text("x"));
    answer.onChunk(call(0, "c1", "stock", "{\"a\""));
    answer.onChunk(call(1, "c2", "price", ""));
    answer.onChunk(call(0, "", "", ":1}"));
    answer.onChunk(finish("tool_calls"));
    completeRequest();
    assertEquals(List.of("request 0 '' 30", "relay stock{\"a\":1}", "relay price"), actions.steps);
    assertTrue(answer.onToolResult("c2", new ToolResult("two", false)));
    assertFalse(answer.onToolResult("c2", new ToolResult("again", false)));
    assertFalse(answer.onToolResult("c9", new ToolResult("unknown", false)));
    assertTrue(answer.onToolResult("c1", new ToolResult("one", false)));
    assertEquals("request 1 '' 29", actions.steps.get(3));
    assertFalse(answer.onToolResult("c1", new ToolResult("late", false)));
  }

  @Test
  void resumedRequestContinuesAfterDeliveredText() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(call(0, "c1", "stock", "{"));
    interruptStream();
    assertEquals("request 0 'ab' 28 resumed", actions.steps.get(1));
    answer.onChunk(text("c"));
    answer.onChunk(call(0, "c1", "stock", "{}"));
    completeRequest();
    assertEquals(List.of("c1/2"), actions.relayed);
    assertEquals("abc", actions.delivered.toString());
  }

  @Test
  void resumesInterruptedStreamsUpToTheLimit() {
    answer.begin();
    for (int i = 0; i < 3; i++) {
      answer.onChunk(text("a"));
      interruptStream();
    }
    assertEquals(AnswerOutcome.Kind.FAILED, actions.outcomes.get(0).kind());
    assertEquals(3, actions.requests);
  }

  @Test
  void doesNotResumeNonIdempotentAnswer() {
    answer = new Answer(actions, new AnswerLimits(30, 3, 4, 200, 2, false));
    answer.begin();
    answer.onChunk(text("a"));
    interruptStream();
    assertEquals(AnswerOutcome.Kind.FAILED, actions.outcomes.get(0).kind());
    assertFalse(actions.outcomes.get(0).isRetryable());
  }

  @Test
  void rejectsTheCallOnlyIfTheFirstRequestIsRejected() {
    answer.begin();
    answer.onRejected(5);
    assertEquals(AnswerOutcome.Kind.REJECTED, actions.outcomes.get(0).kind());
    assertTrue(actions.outcomes.get(0).isRetryable());
    RecordingActions laterActions = new RecordingActions();
    Answer laterAnswer = new Answer(laterActions, LIMITS);
    laterAnswer.begin();
    laterAnswer.onChunk(call(0, "c", "t", "{}"));
    laterActions.openRequests--;
    laterAnswer.onRequestCompleted();
    laterAnswer.onToolResult("c", new ToolResult("", false));
    laterAnswer.onRejected(5);
    assertEquals(AnswerOutcome.Kind.FAILED, laterActions.outcomes.get(0).kind());
    assertFalse(laterActions.outcomes.get(0).isRetryable());
  }

  @Test
  void startsNextTurnWhenAToolTimesOut() {
    answer.begin();
    answer.onChunk(call(0, "c", "t", "{}"));
    completeRequest();
    answer.onToolTimeout("c");
    assertEquals(List.of("withdraw c", "request 1 '' 30"), actions.steps.subList(2, 4));
    assertFalse(answer.onToolResult("c", new ToolResult("late", false)));
  }

  @Test
  void failsOnTooManyToolCalls() {
    answer.begin();
    for (int i = 0; i < 5; i++) {
      answer.onChunk(call(i, "c" + i, "t", "{}"));
    }
    assertEquals(AnswerOutcome.Kind.FAILED, actions.outcomes.get(0).kind());
    assertTrue(actions.steps.contains("cancel"));
  }

  /**
   * Arbitrary sequences of events, valid or not, preserve the three invariants of {@link Answer}.
   */
  @Property(tries = 20_000, seed = "20261201")
  void preservesInvariantsUnderArbitraryEvents(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    RecordingActions recorded = new RecordingActions();
    Answer randomAnswer = new Answer(recorded, LIMITS);
    randomAnswer.begin();
    int callNumber = 0;
    int pieceNumber = 0;
    StringBuilder expectedText = new StringBuilder();
    Set<String> acceptedResults = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      boolean requestOpen = recorded.openRequests > 0;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> {
          if (requestOpen) {
            String piece = "w" + pieceNumber++ + " ";
            expectedText.append(piece);
            randomAnswer.onChunk(text(piece));
          }
        }
        case 4, 5 -> {
          if (requestOpen) {
            randomAnswer.onChunk(call(random.nextInt(3), "c" + callNumber++, "t", "{}"));
          }
        }
        case 6, 7 -> {
          if (requestOpen) {
            recorded.openRequests--;
            randomAnswer.onRequestCompleted();
          }
        }
        case 8 -> {
          if (requestOpen) {
            recorded.openRequests--;
            randomAnswer.onStreamInterrupted("cut");
          }
        }
        case 9 -> {
          String id = "c" + random.nextInt(callNumber + 1);
          if (randomAnswer.onToolResult(id, new ToolResult("r", false))) {
            assertTrue(
                acceptedResults.add(id + "/" + recorded.relayed.size()),
                "a result was accepted twice");
          }
        }
        case 10 -> randomAnswer.onToolTimeout("c" + random.nextInt(callNumber + 1));
        default -> {
          if (random.nextInt(20) == 0) {
            randomAnswer.cancel("gone");
          } else if (requestOpen && random.nextInt(10) == 0) {
            recorded.openRequests--;
            randomAnswer.onFailed();
          }
        }
      }
      assertTrue(recorded.outcomes.size() <= 1, "more than one outcome");
      assertEquals(randomAnswer.state() == Answer.State.ENDED, recorded.outcomes.size() == 1);
      assertEquals(
          randomAnswer.state() == Answer.State.GENERATING,
          recorded.openRequests == 1,
          "a request must be open exactly while the state is GENERATING");
      assertEquals(
          randomAnswer.state() == Answer.State.AWAITING_TOOLS,
          !randomAnswer.pendingToolCalls().isEmpty());
      assertEquals(
          new HashSet<>(recorded.relayed).size(),
          recorded.relayed.size(),
          "a tool call was relayed twice");
      assertEquals(expectedText.toString(), recorded.delivered.toString());
      if (recorded.outcomes.size() == 1) {
        assertEquals(expectedText.toString(), recorded.outcomes.get(0).totals().text());
        return;
      }
    }
  }
}
