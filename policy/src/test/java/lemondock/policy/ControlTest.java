package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemondock.policy.RecordingHost.Action;
import org.junit.jupiter.api.Test;

/** Tests graceful shutdown, events of unknown requests, and invalid input. */
class ControlTest extends ControlFixture {
  /** The longest request takes 16 s: 4 s until the client's timeout, then 200 tokens of 60 ms. */
  @Test
  void shutdownRejectsRequestsThatMayOutliveTheGateway() {
    startSmallFleet();
    assertNotEquals(0, submit(1, IDEMPOTENT_CLASS, 1, 77, 500));
    control.shutdownStarted(now, now + 16 * SECOND);
    assertNotEquals(
        0,
        submit(2, IDEMPOTENT_CLASS, 2, 77, 500),
        "it ends exactly when the gateway may be killed");
    now += 1_000;
    assertEquals(0, submit(3, IDEMPOTENT_CLASS, 3, 77, 500));
    assertEquals(1, host.actionsNamed("reject").size());
    assertTrue(
        host.actionsNamed("reject").get(0).value() > 0, "the rejection carries a Retry-After");
    assertTrue(host.actionsNamed("cancel").isEmpty(), "attempts in flight go on");
  }

  /**
   * Requests that came in time were ended before the earliest kill, although their clients waited
   * longer and their attempts went on. They keep the deadlines of their clients.
   */
  @Test
  void shutdownLeavesRequestsTakenInTimeTheirDeadlines() {
    startSmallFleet();
    readPrompt(1, NON_IDEMPOTENT_CLASS, 1, 77, 500);
    final long writer = lastSentTo();
    submit(2, NON_IDEMPOTENT_CLASS, 2, 78, 500);
    final List<Action> ownDeadlines = deadlineTimers();
    submit(3, NON_IDEMPOTENT_CLASS, 3, 79, 500);
    endAttempt(3, 0, lastSentTo(), AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, 3, 1, lastSentTo(), 50_000);
    host.actions.clear();
    control.shutdownStarted(now, now + 3 * SECOND);
    assertEquals(List.of(), host.actions, "a shutdown alone ends nothing");
    now += ownDeadlines.get(0).value();
    List.of(1L, 2L, 3L).forEach(this::fireDeadline);
    assertEquals(
        List.of(1L, 2L),
        host.actionsNamed("fail").stream().map(Action::id).toList(),
        "the stream goes on");
    assertTrue(writer >= 11);
  }

  private List<Action> deadlineTimers() {
    return host.actionsNamed("timer").stream()
        .filter(timer -> RequestTimer.kindOf(timer.id()) == RequestTimer.DEADLINE)
        .toList();
  }

  /**
   * A request that came more than 0.7 s after the notice must not be under way at the kill. One
   * that came earlier may be: its server may go on, and the kill may come later.
   */
  @Test
  void shutdownEndsHungStreamsOfLateRequestsOnly() {
    startSmallFleet();
    beginStream(1);
    final long killedAt = now + 20 * SECOND;
    control.shutdownStarted(now, killedAt);
    now += 549_000;
    beginStream(2);
    now += 302_000;
    beginStream(3);
    host.actions.clear();
    List.of(1L, 2L, 3L).forEach(this::fireDeadline);
    assertTrue(host.actions.isEmpty(), "all streams may last until shortly before the kill");
    now = killedAt - ShutdownDeadline.MARGIN_MICROS;
    List.of(1L, 2L, 3L).forEach(this::fireDeadline);
    List<Action> checks = host.actionsNamed("endSilentStream");
    assertEquals(List.of(3L), checks.stream().map(Action::id).toList());
    assertTrue(
        checks.get(0).value() <= ShutdownDeadline.MARGIN_MICROS,
        "a stream that hung at the margin is found before the kill: " + checks);
    assertEquals(
        List.of(3L),
        host.actionsNamed("timer").stream()
            .map(timer -> RequestTimer.requestIdOf(timer.id()))
            .toList(),
        "a stream that is still written is checked again");
  }

  /** The deadline timer of a late request is set to the time at which its answer is due. */
  @Test
  void lateRequestsAreDueBeforeTheKill() {
    startSmallFleet();
    control.shutdownStarted(now, now + 20 * SECOND);
    now += 851_000;
    submit(1, IDEMPOTENT_CLASS, 1, 77, 500);
    long dueMicros = 20 * SECOND - 851_000 - ShutdownDeadline.MARGIN_MICROS;
    assertTrue(deadlineTimers().stream().anyMatch(timer -> timer.value() == dueMicros));
    host.actions.clear();
    now += dueMicros;
    fireDeadline(1);
    assertEquals(1, host.actionsNamed("reject").size(), "it has no answer yet");
  }

  /** A late request was taken although all answers took longer than their class aims at. */
  @Test
  void shutdownRejectsLateRequestsThatSlowStreamsWouldKeepOpen() {
    startSmallFleet();
    readPrompt(1, IDEMPOTENT_CLASS, 1, 78, 500);
    final long writer = lastSentTo();
    control.firstToken(now, 1, 1, writer, 1);
    now += 17 * SECOND; // 12 s at the objective
    endAttempt(1, 1, writer, AttemptOutcome.OK, true);
    control.shutdownStarted(now, now + 20 * SECOND);
    now += 100_000;
    assertNotEquals(0, submit(2, IDEMPOTENT_CLASS, 2, 79, 500), "it came in time");
    now += 800_000;
    assertEquals(0, submit(3, IDEMPOTENT_CLASS, 3, 80, 500), "at this pace it takes 21 s");
    assertEquals(1, host.actionsNamed("reject").size());
  }

  /** Both the notice and a request may be learned of up to 0.15 s late. */
  @Test
  void shutdownRejectsRequestsThatMayHaveComeLate() {
    startSmallFleet();
    final long startedAt = now;
    control.shutdownStarted(now, now + 30 * SECOND);
    long id = 1;
    for (long micros : List.of(100_000L, 549_000L, 851_000L, 2 * SECOND)) {
      now = startedAt + micros;
      assertNotEquals(0, submit(id, IDEMPOTENT_CLASS, id, 77 + id, 500), "came at " + micros);
      id++;
    }
    for (long micros : List.of(551_000L, 700_000L, 849_000L)) {
      now = startedAt + micros;
      assertEquals(0, submit(id, IDEMPOTENT_CLASS, id, 77 + id, 500), "came at " + micros);
      assertEquals(1, host.actionsNamed("reject").size());
      id++;
    }
  }

  private void fireDeadline(long id) {
    control.timerFired(now, RequestTimer.DEADLINE.token(id));
  }

  private void beginStream(long id) {
    submit(id, IDEMPOTENT_CLASS, id, 77 + id, 500);
    beginStreamOf(id);
  }

  private void beginStreamOf(long id) {
    endAttempt(id, 0, lastSentTo(), AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, id, 1, lastSentTo(), 50_000);
  }

  @Test
  void streamsMayBeSilentWithoutAShutdown() {
    startSmallFleet();
    beginStream(1);
    host.actions.clear();
    control.timerFired(now + 100 * SECOND, RequestTimer.DEADLINE.token(1));
    assertTrue(host.actions.isEmpty());
  }

  @Test
  void ignoresEventsOfUnknownRequests() {
    startSmallFleet();
    endAttempt(99, 0, 1, AttemptOutcome.PROMPT_READ, true);
    control.firstToken(now, 99, 0, 1, 10);
    control.clientDisconnected(now, 99);
    control.timerFired(now, RequestTimer.DEADLINE.token(99));
    assertTrue(host.actions.isEmpty());
  }

  @Test
  void rejectsSettingsWithoutAttemptsAndNamesTheField() {
    RouterSettings settings = RecordingHost.settings(0, true);
    InvalidRouterInputException invalid =
        assertThrows(InvalidRouterInputException.class, () -> new Control(settings, 1, host));
    assertTrue(invalid.getMessage().contains("attempt"));
    assertEquals("limits.maxAttempts", invalid.field());
    assertEquals("0", invalid.value());
  }

  @Test
  void rejectsServerOfUnknownKindAndNamesTheField() {
    List<ServerEntry> servers = List.of(RecordingHost.readyServer(8, 99, 0));
    InvalidRouterInputException invalid =
        assertThrows(
            InvalidRouterInputException.class,
            () -> control.endpointsChanged(now, EndpointListKind.CHANGES, servers));
    assertEquals("server 8 has the unknown kind 99, expected less than 3", invalid.getMessage());
    assertEquals("entries[id=8].kind", invalid.field());
    assertEquals("99", invalid.value());
  }
}
