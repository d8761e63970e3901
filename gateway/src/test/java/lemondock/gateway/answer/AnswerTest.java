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
    public void leg(List<Answer.Turn> turns, String given, int maxTokens, boolean resumed) {
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
    public void leave() {
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
    answer.served();
  }

  private void broke() {
    log.open--;
    answer.broke("cut");
  }

  @Test
  void textThenTheEnd() {
    answer.begin();
    answer.chunk(text("a"));
    answer.chunk(text("b"));
    answer.chunk(finish("stop"));
    served();
    assertEquals(
        List.of(new Answer.Outcome(OutcomeKind.SERVED, "ab", 2, 0, 0, "stop", false, 0, "")),
        log.endings);
    answer.chunk(text("c"));
    answer.served();
    answer.leave("late");
    assertEquals(1, log.endings.size());
  }

  @Test
  void fragmentsBecomeCallsAndResultsTheNextTurn() {
    answer.begin();
    answer.chunk(text("x"));
    answer.chunk(call(0, "c1", "stock", "{\"a\""));
    answer.chunk(call(1, "c2", "price", ""));
    answer.chunk(call(0, "", "", ":1}"));
    answer.chunk(finish("tool_calls"));
    served();
    assertEquals(List.of("leg 0 '' 30", "relay stock{\"a\":1}", "relay price"), log.steps);
    assertTrue(answer.result("c2", new ToolResult("two", false)));
    assertFalse(answer.result("c2", new ToolResult("again", false)));
    assertFalse(answer.result("c9", new ToolResult("unknown", false)));
    assertTrue(answer.result("c1", new ToolResult("one", false)));
    assertEquals("leg 1 '' 29", log.steps.get(3));
    assertFalse(answer.result("c1", new ToolResult("late", false)));
  }

  @Test
  void aBreakGoesOnBehindWhatWasDelivered() {
    answer.begin();
    answer.chunk(text("a"));
    answer.chunk(text("b"));
    answer.chunk(call(0, "c1", "stock", "{"));
    broke();
    assertEquals("leg 0 'ab' 28 resumed", log.steps.get(1));
    answer.chunk(text("c"));
    answer.chunk(call(0, "c1", "stock", "{}"));
    served();
    assertEquals(List.of("c1/2"), log.relayed);
    assertEquals("abc", log.delivered.toString());
  }

  @Test
  void breaksAreResumedSoOftenAndNoMore() {
    answer.begin();
    for (int i = 0; i < 3; i++) {
      answer.chunk(text("a"));
      broke();
    }
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).end());
    assertEquals(3, log.legs);
  }

  @Test
  void whatMayRunOnlyOnceIsNotResumed() {
    answer = new Answer(log, new Answer.Limits(30, 3, 4, 200, 2, false));
    answer.begin();
    answer.chunk(text("a"));
    broke();
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).end());
    assertFalse(log.endings.get(0).retryable());
  }

  @Test
  void onlyTheFirstLegsRefusalIsARefusal() {
    answer.begin();
    answer.refused(5);
    assertEquals(OutcomeKind.REFUSED, log.endings.get(0).end());
    assertTrue(log.endings.get(0).retryable());
    Log second = new Log();
    Answer later = new Answer(second, BOUNDS);
    later.begin();
    later.chunk(call(0, "c", "t", "{}"));
    second.open--;
    later.served();
    later.result("c", new ToolResult("", false));
    later.refused(5);
    assertEquals(OutcomeKind.FAILED, second.endings.get(0).end());
    assertFalse(second.endings.get(0).retryable());
  }

  @Test
  void aToolThatDoesNotAnswerIsToldToTheModel() {
    answer.begin();
    answer.chunk(call(0, "c", "t", "{}"));
    served();
    answer.expired("c");
    assertEquals(List.of("withdraw c", "leg 1 '' 30"), log.steps.subList(2, 4));
    assertFalse(answer.result("c", new ToolResult("late", false)));
  }

  @Test
  void boundsEndAnAnswer() {
    answer.begin();
    for (int i = 0; i < 5; i++) {
      answer.chunk(call(i, "c" + i, "t", "{}"));
    }
    assertEquals(OutcomeKind.FAILED, log.endings.get(0).end());
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
            any.chunk(text(piece));
          }
        }
        case 4, 5 -> {
          if (legOpen) {
            any.chunk(call(random.nextInt(3), "c" + callNumber++, "t", "{}"));
          }
        }
        case 6, 7 -> {
          if (legOpen) {
            seen.open--;
            any.served();
          }
        }
        case 8 -> {
          if (legOpen) {
            seen.open--;
            any.broke("cut");
          }
        }
        case 9 -> {
          String id = "c" + random.nextInt(callNumber + 1);
          if (any.result(id, new ToolResult("r", false))) {
            assertTrue(taken.add(id + "/" + seen.relayed.size()), "a result taken twice");
          }
        }
        case 10 -> any.expired("c" + random.nextInt(callNumber + 1));
        default -> {
          if (random.nextInt(20) == 0) {
            any.leave("gone");
          } else if (legOpen && random.nextInt(10) == 0) {
            seen.open--;
            any.failed();
          }
        }
      }
      assertTrue(seen.endings.size() <= 1, "two endings");
      assertEquals(any.state() == Answer.State.ENDED, seen.endings.size() == 1);
      assertEquals(
          any.state() == Answer.State.LEG,
          seen.open == 1,
          "a leg is open exactly while one is awaited");
      assertEquals(any.state() == Answer.State.TOOLS, !any.awaited().isEmpty());
      assertEquals(new HashSet<>(seen.relayed).size(), seen.relayed.size(), "a call relayed twice");
      assertEquals(wanted.toString(), seen.delivered.toString());
      if (seen.endings.size() == 1) {
        assertEquals(wanted.toString(), seen.endings.get(0).text());
        return;
      }
    }
  }
}
