package lemondock.gateway.answer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import lemondock.gateway.answer.Answer.OutcomeKind;
import lemondock.gateway.engine.CompletionChunk;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The states of an answer. */
class AnswerTest {
  private static final Answer.Limits BOUNDS = new Answer.Limits(30, 3, 4, 200, 2, true);

  /** Writes down every step. */
  private static final class Log implements Answer.Actions {
    private final List<String> steps = new ArrayList<>();
    private final List<Answer.Outcome> endings = new ArrayList<>();
    private final StringBuilder delivered = new StringBuilder();
    private final List<String> relayed = new ArrayList<>();
    private int legs;
    private int open;
    private String partial = "";
    private int lastTokens;

    @Override
    public void startRequest(
        List<Answer.Turn> turns, String given, int maxTokens, boolean resumed) {
      assertEquals(0, open++, "two legs at a time");
      assertTrue(maxTokens > 0);
      legs++;
      partial = given;
      steps.add(
          "leg " + turns.size() + " '" + given + "' " + maxTokens + (resumed ? " resumed" : ""));
    }

    @Override
    public void deliver(CharSequence piece, int tokens) {
      assertTrue(tokens >= lastTokens);
      lastTokens = tokens;
      delivered.append(piece);
    }

    @Override
    public void relay(ToolCall call) {
      relayed.add(call.id() + "/" + legs);
      steps.add("relay " + call.name() + call.arguments());
    }

    @Override
    public void withdraw(ToolCall call, String why) {
      steps.add("withdraw " + call.id());
    }

    @Override
    public void cancelRequest() {
      open--;
      steps.add("leave");
    }

    @Override
    public void ended(Answer.Outcome ending) {
      endings.add(ending);
    }
  }

  private final Log log = new Log();
  private Answer answer = new Answer(log, BOUNDS);

  private static CompletionChunk text(String piece) {
    return new CompletionChunk(piece, List.of(), null, -1, -1, -1, false, null);
  }

  private static CompletionChunk call(int index, String id, String name, String arguments) {
    return new CompletionChunk(
        "",
        List.of(new CompletionChunk.ToolCallDelta(index, id, name, arguments)),
        null,
        -1,
        -1,
        -1,
        false,
        null);
  }

  private static CompletionChunk finish(String why) {
    return new CompletionChunk("", List.of(), why, -1, -1, -1, false, null);
  }

  private void served() {
    log.open--;
    answer.onRequestCompleted();
  }

  private void broke() {
    log.open--;
    answer.onStreamBroken("cut");
  }

  @Test
  void textThenTheEnd() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(finish("stop"));
    served();
    assertEquals(
        List.of(new Answer.Outcome(OutcomeKind.SERVED, "ab", 2, 0, 0, "stop", false, 0, "")),
        log.endings);
    answer.onChunk(text("c"));
    answer.onRequestCompleted();
    answer.cancel("late");
    assertEquals(1, log.endings.size());
  }

  @Test
  void fragmentsBecomeCallsAndResultsTheNextTurn() {
    answer.begin();
    answer.onChunk(text("x"));
    answer.onChunk(call(0, "c1", "stock", "{\"a\""));
    answer.onChunk(call(1, "c2", "price", ""));
    answer.onChunk(call(0, "", "", ":1}"));
    answer.onChunk(finish("tool_calls"));
    served();
    assertEquals(List.of("leg 0 '' 30", "relay stock{\"a\":1}", "relay price"), log.steps);
    assertTrue(answer.onToolResult("c2", new ToolResult("two", false)));
    assertFalse(answer.onToolResult("c2", new ToolResult("again", false)));
    assertFalse(answer.onToolResult("c9", new ToolResult("unknown", false)));
    assertTrue(answer.onToolResult("c1", new ToolResult("one", false)));
    assertEquals("leg 1 '' 29", log.steps.get(3));
    assertFalse(answer.onToolResult("c1", new ToolResult("late", false)));
  }

  @Test
  void aBreakGoesOnBehindWhatWasDelivered() {
    answer.begin();
    answer.onChunk(text("a"));
    answer.onChunk(text("b"));
    answer.onChunk(call(0, "c1", "stock", "{"));
    broke();
    assertEquals("leg 0 'ab' 28 resumed", log.steps.get(1));
    answer.onChunk(text("c"));
    answer.onChunk(call(0, "c1", "stock", "{}"));
    served();
    assertEquals(List.of("c1/2"), log.relayed);
    assertEquals("abc", log.delivered.toString());
  }

  @Test
  void breaksAreResumedSoOftenAndNoMore() {
    answer.begin();
    for (int i = 0; i < 3; i++) {
      answer.onChunk(text("a"));
      broke();
    }
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).kind());
    assertEquals(3, log.legs);
  }

  @Test
  void whatMayRunOnlyOnceIsNotResumed() {
    answer = new Answer(log, new Answer.Limits(30, 3, 4, 200, 2, false));
    answer.begin();
    answer.onChunk(text("a"));
    broke();
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).kind());
    assertFalse(log.endings.get(0).retryable());
  }

  @Test
  void onlyTheFirstLegsRefusalIsARefusal() {
    answer.begin();
    answer.onRejected(5);
    assertEquals(OutcomeKind.REJECTED, log.endings.get(0).kind());
    assertTrue(log.endings.get(0).retryable());
    Log second = new Log();
    Answer later = new Answer(second, BOUNDS);
    later.begin();
    later.onChunk(call(0, "c", "t", "{}"));
    second.open--;
    later.onRequestCompleted();
    later.onToolResult("c", new ToolResult("", false));
    later.onRejected(5);
    assertEquals(OutcomeKind.FAILED, second.endings.get(0).kind());
    assertFalse(second.endings.get(0).retryable());
  }

  @Test
  void aToolThatDoesNotAnswerIsToldToTheModel() {
    answer.begin();
    answer.onChunk(call(0, "c", "t", "{}"));
    served();
    answer.onToolTimeout("c");
    assertEquals(List.of("withdraw c", "leg 1 '' 30"), log.steps.subList(2, 4));
    assertFalse(answer.onToolResult("c", new ToolResult("late", false)));
  }

  @Test
  void boundsEndAnAnswer() {
    answer.begin();
    for (int i = 0; i < 5; i++) {
      answer.onChunk(call(i, "c" + i, "t", "{}"));
    }
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).kind());
    assertTrue(log.steps.contains("leave"));
  }

  /** Any order of events, sensible or not, keeps the three promises. */
  @Property(tries = 20_000, seed = "20261201")
  void anySequenceKeepsThePromises(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Log seen = new Log();
    Answer any = new Answer(seen, BOUNDS);
    any.begin();
    int callNumber = 0;
    int word = 0;
    StringBuilder wanted = new StringBuilder();
    Set<String> taken = new HashSet<>();
    for (int step = 0; step < 60; step++) {
      boolean legOpen = seen.open > 0;
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> {
          if (legOpen) {
            String piece = "w" + word++ + " ";
            wanted.append(piece);
            any.onChunk(text(piece));
          }
        }
        case 4, 5 -> {
          if (legOpen) {
            any.onChunk(call(random.nextInt(3), "c" + callNumber++, "t", "{}"));
          }
        }
        case 6, 7 -> {
          if (legOpen) {
            seen.open--;
            any.onRequestCompleted();
          }
        }
        case 8 -> {
          if (legOpen) {
            seen.open--;
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
          } else if (legOpen && random.nextInt(10) == 0) {
            seen.open--;
            any.onFailed();
          }
        }
      }
      assertTrue(seen.endings.size() <= 1, "two endings");
      assertEquals(any.state() == Answer.State.ENDED, seen.endings.size() == 1);
      assertEquals(
          any.state() == Answer.State.GENERATING,
          seen.open == 1,
          "a leg is open exactly while one is awaited");
      assertEquals(any.state() == Answer.State.AWAITING_TOOLS, !any.pendingToolCalls().isEmpty());
      assertEquals(new HashSet<>(seen.relayed).size(), seen.relayed.size(), "a call relayed twice");
      assertEquals(wanted.toString(), seen.delivered.toString());
      if (seen.endings.size() == 1) {
        assertEquals(wanted.toString(), seen.endings.get(0).text());
        return;
      }
    }
  }
}
