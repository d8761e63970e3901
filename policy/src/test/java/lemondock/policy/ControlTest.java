package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import lemondock.policy.RecordingHost.Action;
import org.junit.jupiter.api.Test;

/** The order of work: shutdown, unknown requests and input that cannot be used. */
class ControlTest extends ControlFixture {
  /** The longest answer: 4 s until the client's timeout, then 200 tokens of 60 ms. */
  @Test
  void aGatewayThatShutsDownTakesOnlyWhatEndsBeforeItMayBeKilled() {
    startSmallFleet();
    assertNotEquals(0, submit(1, IDEMPOTENT_CLASS, 1, 77, 500));
    control.shutdownStarted(now, now + 16 * SECOND);
    assertNotEquals(0, submit(2, IDEMPOTENT_CLASS, 2, 77, 500), "it ends at the very last moment");
    now += 1_000;
    assertEquals(0, submit(3, IDEMPOTENT_CLASS, 3, 77, 500));
    assertEquals(1, host.actionsNamed("reject").size());
    assertTrue(host.actionsNamed("reject").get(0).value() > 0, "with when to come back");
    assertTrue(host.actionsNamed("cancel").isEmpty(), "what runs goes on");
  }

  /**
   * The platform kills 3 s after a notice where deadlines are longer: a client whose connection
   * breaks then knows nothing of its request.
   */
  @Test
  void aRequestWhoseDeadlineLiesBehindTheKillIsAnsweredBeforeIt() {
    startSmallFleet();
    readPrompt(1, NON_IDEMPOTENT_CLASS, 1, 77, 500);
    final long writer = lastSentTo();
    submit(2, NON_IDEMPOTENT_CLASS, 2, 78, 500);
    submit(3, NON_IDEMPOTENT_CLASS, 3, 79, 500);
    endAttempt(3, 0, lastSentTo(), AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, 3, 1, lastSentTo(), 50_000);
    host.actions.clear();
    control.shutdownStarted(now, now + 3 * SECOND);
    List<Action> timers = host.actionsNamed("timer");
    assertTrue(
        timers.stream().allMatch(timer -> timer.value() > 0 && timer.value() < 3 * SECOND),
        "before the kill, but not at once: " + timers);
    host.actions.clear();
    now += 3 * SECOND - Control.SHUTDOWN_MARGIN_MICROS;
    timers.forEach(timer -> control.timerFired(now, timer.id()));
    assertEquals(
        List.of(1L, 2L),
        host.actionsNamed("fail").stream().map(Action::id).sorted().toList(),
        "a write or a read is out");
    assertEquals(
        Set.of(1L, 2L),
        host.actionsNamed("cancel").stream().map(Action::id).collect(Collectors.toSet()),
        "the stream goes on");
    assertTrue(host.actionsNamed("reject").isEmpty());
    assertTrue(writer >= 11);
  }

  @Test
  void eventsOfUnknownRequestsAreIgnored() {
    startSmallFleet();
    endAttempt(99, 0, 1, AttemptOutcome.PROMPT_READ, true);
    control.firstToken(now, 99, 0, 1, 10);
    control.clientDisconnected(now, 99);
    control.timerFired(now, RequestTimer.DEADLINE.token(99));
    assertTrue(host.actions.isEmpty());
  }

  @Test
  void contradictingSettingsAreNamed() {
    RouterSettings settings = RecordingHost.settings(0, true);
    InvalidRouterInputException invalid =
        assertThrows(InvalidRouterInputException.class, () -> new Control(settings, 1, host));
    assertTrue(invalid.getMessage().contains("attempt"));
    assertEquals("limits.maxAttempts", invalid.field());
    assertEquals("0", invalid.value());
  }

  @Test
  void aServerOfAnUnknownKindIsNamed() {
    List<ServerEntry> servers = List.of(RecordingHost.readyServer(8, 99, 0));
    InvalidRouterInputException invalid =
        assertThrows(
            InvalidRouterInputException.class,
            () -> control.endpointsChanged(now, EndpointListKind.CHANGES, servers));
    assertEquals("server of an unknown kind", invalid.getMessage());
    assertEquals("entries[id=8].kind", invalid.field());
    assertEquals("99", invalid.value());
  }
}
