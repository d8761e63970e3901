package lemondock.policy;

import static lemondock.policy.Recorder.KEYED;
import static lemondock.policy.Recorder.MIXED;
import static lemondock.policy.Recorder.ONCE;
import static lemondock.policy.Recorder.READER;
import static lemondock.policy.Recorder.SAFE;
import static lemondock.policy.Recorder.SECOND;
import static lemondock.policy.Recorder.WRITER;
import static lemondock.policy.Recorder.ready;
import static lemondock.policy.Recorder.request;
import static lemondock.policy.Recorder.server;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import lemondock.policy.Recorder.Action;
import org.junit.jupiter.api.Test;

/** One test for each thing the module must do and for each failure found. */
class ControlTest {
  private final Recorder host = new Recorder();
  private Control control = new Control(Recorder.settings(4, true), 7, host);
  private long now = 100 * SECOND;

  private void fleet(ServerEntry... servers) {
    control.started(now);
    control.endpointsChanged(now, EndpointListKind.CACHED, List.of(servers));
    host.take();
  }

  private void plainFleet() {
    fleet(ready(1, READER, 0), ready(2, READER, 1), ready(11, WRITER, 0), ready(12, WRITER, 1));
  }

  /** Hands in a request and gives the server of its first attempt, 0 if there is none. */
  private long ask(long id, int cls, long session, long prefix, int prompt) {
    host.actions.clear();
    control.requestArrived(now, request(id, cls, session, prefix, prompt));
    return sentTo();
  }

  private long sentTo() {
    List<Action> sends = host.of("send");
    return sends.isEmpty() ? 0 : sends.get(sends.size() - 1).server();
  }

  private void end(long id, int attempt, long server, AttemptOutcome ending, boolean last) {
    host.actions.clear();
    control.attemptEnded(
        now, new AttemptResult(id, attempt, server, ending, 50_000, last, 0, false));
  }

  /** A whole request served: read, written, streamed. */
  private long serve(long id, long session, long prefix, int prompt) {
    long reader = ask(id, SAFE, session, prefix, prompt);
    now += 50_000;
    end(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    now += 50_000;
    control.firstToken(now, id, 1, writer, 50_000);
    now += SECOND;
    end(id, 1, writer, AttemptOutcome.OK, true);
    return reader;
  }

  private static final long WITHIN = Recorder.settings(4, true).rules().releaseWithinMicros();

  /**
   * Runs the timers on what is held by their times, the first of which was set at that moment,
   * until one of them releases it.
   */
  private void awaitRelease(long firstSetAt) {
    long token = RequestTimer.STATE_RELEASE.token();
    long due = Long.MAX_VALUE;
    for (Action timer : host.of("timer")) {
      due = timer.id() == token ? Math.min(due, now + timer.value()) : due;
    }
    now = due < Long.MAX_VALUE ? due : firstSetAt + WITHIN * 8 / 10;
    heldTimer();
    while (host.of("release").isEmpty()) {
      now += host.of("timer").get(0).value();
      heldTimer();
    }
  }

  private void heldTimer() {
    host.actions.clear();
    control.timerFired(now, RequestTimer.STATE_RELEASE.token());
  }

  /**
   * Found on a day on which most writers fell silent at once: each connection that never came up
   * held the state for longer.
   */
  @Test
  void aStateThatNoWriterTookInTimeIsReleasedAndReadAnew() {
    fleet(
        ready(1, READER, 0),
        ready(2, READER, 0),
        ready(11, WRITER, 0),
        ready(12, WRITER, 0),
        ready(13, WRITER, 0));
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 50_000;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    now += WITHIN / 2;
    host.actions.clear();
    end(1, 1, writer, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(host.of("release").isEmpty(), "another writer may still take it");
    writer = sentTo();
    assertTrue(writer >= 11);
    now += WITHIN * 3 / 10;
    host.actions.clear();
    end(1, 2, writer, AttemptOutcome.CONNECT_FAILED, false);
    assertEquals(1, host.of("release").size());
    assertTrue(
        host.of("send").stream().noneMatch(a -> a.server() >= 11), "a write without a state");
    assertEquals(1, host.of("send").size() + host.of("refuse").size(), "read anew or answered");
  }

  /**
   * Incident 36: a write that was sent is no proof that it has arrived; its state's time runs on.
   */
  @Test
  void aStateIsReleasedInTimeThoughItsWriteIsOut() {
    for (int cls : List.of(SAFE, ONCE)) {
      control = new Control(Recorder.settings(4, true), 7, host);
      plainFleet();
      long reader = ask(1, cls, 1, 77, 500);
      now += 20_000;
      end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = sentTo();
      assertTrue(writer >= 11);
      long readEnd = now;
      awaitRelease(readEnd - 20_000);
      assertEquals(WITHIN * 8 / 10, now - readEnd);
      assertEquals(
          List.of("release"), names(), "nothing is called off: the write may wait at its server");
      now += WITHIN;
      heldTimer();
      assertEquals(
          List.of("release"),
          names(),
          "it may have waited, and have ended without our hearing of it");
      control.firstToken(now, 1, 1, writer, 2 * WITHIN);
      heldTimer();
      assertEquals(List.of(), names());
    }
  }

  /**
   * A write that comes after the release finds no state, which proves that it never ran, whatever
   * the class.
   */
  @Test
  void aWriteThatComesAfterTheReleaseIsTriedAnew() {
    for (int cls : List.of(SAFE, ONCE)) {
      control = new Control(Recorder.settings(4, true), 7, host);
      plainFleet();
      long reader = ask(1, cls, 1, 77, 500);
      end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
      final long writer = sentTo();
      now += WITHIN;
      heldTimer();
      assertEquals(1, host.of("release").size());
      host.actions.clear();
      control.attemptEnded(
          now, new AttemptResult(1, 1, writer, AttemptOutcome.REJECTED, WITHIN, false, 0, true));
      assertTrue(sentTo() == 1 || sentTo() == 2, "read anew");
      assertTrue(host.of("release").isEmpty(), "nothing is held any more");
    }
  }

  /**
   * A read may have ended and its answer be lost: where it is out far longer than it should be,
   * what it may hold is released.
   */
  @Test
  void whatAReadWithoutAnAnswerMayHoldIsReleased() {
    plainFleet();
    ask(1, SAFE, 1, 77, 500);
    now += WITHIN / 10;
    heldTimer();
    assertEquals(
        List.of(), names(), "it may still be read, and a release would take its state from it");
    now += SECOND / 2;
    for (int i = 0; i < 3; i++) {
      now += WITHIN;
      heldTimer();
      assertEquals(1, host.of("timer").size(), "and again");
      assertEquals(List.of("release"), names());
    }
  }

  /**
   * Found by the soak: one older answer, and none after it, kept a lost read from being called off
   * until its deadline.
   */
  @Test
  void aQueueThatHasStoppedMovingHoldsNoReadBack() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, ask(2, SAFE, 1, 77, 500));
    now += SECOND;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertTrue(host.of("cancel").isEmpty(), "its queue moves");
    now += 4 * SECOND;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertEquals(1, host.of("cancel").size());
  }

  /**
   * Found in CI: an older answer came right after the read was sent, and none after it; the read's
   * own was lost.
   */
  @Test
  void aQueueThatMovedOnlyAtFirstDoesNotPutTheReleaseOff() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, ask(2, SAFE, 1, 77, 500));
    now += 5_000;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, 1, 1, sentTo(), 1_000);
    now += SECOND;
    heldTimer();
    assertEquals(List.of("release"), names());
  }

  /** Its server goes on answering older work: the read waits in a queue that moves. */
  @Test
  void aReadWhoseQueueMovesIsNotReleased() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 10_000;
    assertEquals(reader, ask(2, SAFE, 1, 77, 500));
    now += SECOND;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    heldTimer();
    assertEquals(1, host.of("timer").size(), "looked at again");
    assertEquals(List.of(), names());
  }

  /**
   * At once it would take the state of the second read, which begins in the same moment; the limit
   * is kept all the same.
   */
  @Test
  void whatABrokenReadMayHaveLeftIsReleasedInTime() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 20_000;
    end(1, 0, reader, AttemptOutcome.RESET, false);
    assertTrue(sentTo() == 1 || sentTo() == 2, "read anew");
    assertTrue(host.of("release").isEmpty());
    now += WITHIN - 1_000;
    heldTimer();
    assertEquals(List.of(), names());
    now += 1_000;
    heldTimer();
    assertEquals(List.of("release"), names());
  }

  @Test
  void whatABrokenReadMayHaveLeftIsReleasedAtTheEndOfItsRequest() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    control.clientDisconnected(now, 1);
    end(1, 0, reader, AttemptOutcome.CANCELLED, true);
    assertEquals(List.of("release"), names());
  }

  @Test
  void aReadThatNeverRanLeavesNothingToRelease() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 77, 500);
    end(1, 0, reader, AttemptOutcome.CONNECT_FAILED, false);
    assertTrue(host.of("release").isEmpty());
    control.clientDisconnected(now, 1);
    long second = sentTo();
    end(1, 1, second, AttemptOutcome.CONNECT_FAILED, true);
    assertTrue(host.of("release").isEmpty());
  }

  /**
   * Found on days with hung writers: the release came after the second read had made its state, and
   * the second write found none.
   */
  @Test
  void aStateThatAWriteMayHaveTakenIsNotReleasedBeforeTheReadAnew() {
    plainFleet();
    long within = Recorder.settings(4, true).rules().releaseWithinMicros();
    long reader = ask(1, SAFE, 1, 77, 500);
    now += 50_000;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    now += within;
    end(1, 1, writer, AttemptOutcome.CANCELLED, false);
    assertTrue(
        host.of("release").isEmpty(),
        "all attempts share the request's name where states are held");
    assertTrue(sentTo() == 1 || sentTo() == 2, "read anew");
  }

  /** The longest answer: 4 s of patience, then 200 tokens of 60 ms. */
  @Test
  void aGatewayThatShutsDownTakesOnlyWhatEndsBeforeItMayBeKilled() {
    plainFleet();
    assertNotEquals(0, ask(1, SAFE, 1, 77, 500));
    control.shutdownStarted(now, now + 16 * SECOND);
    assertNotEquals(0, ask(2, SAFE, 2, 77, 500), "it ends at the very last moment");
    now += 1_000;
    assertEquals(0, ask(3, SAFE, 3, 77, 500));
    assertEquals(1, host.of("refuse").size());
    assertTrue(host.of("refuse").get(0).value() > 0, "with when to come back");
    assertTrue(host.of("cancel").isEmpty(), "what runs goes on");
  }

  /**
   * The platform kills 3 s after a notice where deadlines are longer: a client whose connection
   * breaks then knows nothing of its request.
   */
  @Test
  void aRequestWhoseDeadlineLiesBehindTheKillIsAnsweredBeforeIt() {
    plainFleet();
    long reader = ask(1, ONCE, 1, 77, 500);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    final long writer = sentTo();
    ask(2, ONCE, 2, 78, 500);
    ask(3, ONCE, 3, 79, 500);
    end(3, 0, sentTo(), AttemptOutcome.PROMPT_READ, false);
    control.firstToken(now, 3, 1, sentTo(), 50_000);
    host.actions.clear();
    control.shutdownStarted(now, now + 3 * SECOND);
    List<Action> timers = host.of("timer");
    assertTrue(
        timers.stream().allMatch(t -> t.value() > 0 && t.value() < 3 * SECOND),
        "before the kill, but not at once: " + timers);
    host.actions.clear();
    now += 3 * SECOND - Control.SHUTDOWN_MARGIN_MICROS;
    timers.forEach(t -> control.timerFired(now, t.id()));
    assertEquals(
        List.of(1L, 2L),
        host.of("fail").stream().map(Action::id).sorted().toList(),
        "a write or a read is out");
    assertEquals(
        Set.of(1L, 2L),
        host.of("cancel").stream().map(Action::id).collect(Collectors.toSet()),
        "the stream goes on");
    assertTrue(host.of("refuse").isEmpty());
    assertTrue(writer >= 11);
  }

  @Test
  void aSessionReturnsToItsReaderAndAPrefixHasOneHome() {
    plainFleet();
    Set<Long> homes = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      homes.add(serve(i, 500 + i, 77, 2000));
    }
    assertEquals(1, homes.size(), "one prefix is read at one reader");
    assertEquals(
        homes.iterator().next(), serve(10, 500, 99, 2500), "the table comes before the hash");
  }

  @Test
  void prefixesSpreadOverTheReaders() {
    plainFleet();
    Set<Long> homes = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      homes.add(serve(i, 500 + i, 1000 + i, 2000));
    }
    assertEquals(Set.of(1L, 2L), homes);
  }

  @Test
  void aSessionIsForgottenAfterItsTimeToLive() {
    plainFleet();
    long first = serve(1, 500, 77, 2000);
    long other = 0;
    for (long prefix = 1; other == 0 || other == first; prefix++) {
      other = serve(100 + prefix, 900 + prefix, prefix, 2000);
      if (other != first) {
        now += SessionTable.TTL_MICROS + SECOND;
        control.timerFired(now, 2);
        assertEquals(other, ask(5000, SAFE, 500, prefix, 2500));
      }
    }
  }

  @Test
  void theWriterIsInTheReadersCellOrZone() {
    fleet(ready(1, READER, 0), ready(11, WRITER, 0), ready(12, WRITER, 1), ready(13, WRITER, 4));
    Set<Long> writers = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      ask(i, SAFE, i, 0, 800);
      now += 10_000;
      end(i, 0, 1, AttemptOutcome.PROMPT_READ, false);
      writers.add(sentTo());
    }
    assertFalse(writers.contains(13L), "another zone is used only if the own one has no writer");
  }

  @Test
  void aMixedServerWritesInPlaceAndLongPromptsGoToReaders() {
    fleet(ready(3, MIXED, 0), ready(1, READER, 0), ready(11, WRITER, 0));
    assertEquals(1, ask(1, SAFE, 1, 0, ReaderSelector.LONG_READ_TOKENS + 500));
    boolean mixed = false;
    for (int i = 2; i < 30 && !mixed; i++) {
      if (ask(i, SAFE, i, 0, 200) == 3) {
        mixed = true;
        control.firstToken(now + 1000, i, 0, 3, 1000);
        end(i, 0, 3, AttemptOutcome.OK, true);
        assertTrue(host.of("send").isEmpty(), "nothing more is sent once it answered in place");
      }
    }
    assertTrue(mixed);
  }

  @Test
  void aFullWriterIsFollowedByAnother() {
    plainFleet();
    long reader = ask(1, ONCE, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    end(1, 1, writer, AttemptOutcome.REJECTED, false);
    assertNotEquals(writer, sentTo());
    assertTrue(sentTo() > 10);
  }

  @Test
  void afterAWriteThatMayHaveRunTheStateCountsAsMoved() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    end(1, 1, sentTo(), AttemptOutcome.ERROR, false);
    assertTrue(
        sentTo() <= 10, "a reader is asked anew: a write would find no state and cost an attempt");
    end(1, 2, sentTo(), AttemptOutcome.PROMPT_READ, false);
    assertTrue(sentTo() > 10);
  }

  @Test
  void theLastAttemptIsAWriteEvenIfTheStateMayHaveMoved() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    end(1, 1, sentTo(), AttemptOutcome.REJECTED, false);
    end(1, 2, sentTo(), AttemptOutcome.ERROR, false);
    assertTrue(sentTo() > 10 && host.of("refuse").isEmpty());
  }

  @Test
  void onceIsNotSentAgainNorRefusedAfterItMayHaveRun() {
    plainFleet();
    long reader = ask(1, ONCE, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    end(1, 1, sentTo(), AttemptOutcome.ERROR, false);
    assertEquals(List.of("fail", "release"), names());
  }

  @Test
  void onceIsNotRefusedWhileAReadIsOut() {
    plainFleet();
    ask(1, ONCE, 1, 0, 1000);
    host.actions.clear();
    now += 4 * SECOND;
    control.timerFired(now, RequestTimer.DEADLINE.token(1));
    assertEquals(List.of("fail", "cancel"), names());
  }

  @Test
  void keyedStaysInItsCellAndWindow() {
    fleet(ready(1, READER, 0), ready(11, WRITER, 0), ready(12, WRITER, 1), ready(13, WRITER, 0));
    long reader = ask(1, KEYED, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long first = sentTo();
    end(1, 1, first, AttemptOutcome.ERROR, false);
    long second = sentTo();
    if (first == 12) {
      assertEquals(
          List.of("fail", "release"), names(), "no other writer in the cell but itself: " + second);
    } else {
      assertTrue(second == 11 || second == 13);
    }
  }

  private List<String> names() {
    return host.take().stream().map(Action::name).filter(n -> !n.equals("timer")).toList();
  }

  @Test
  void nothingGoesToADrainingServer() {
    plainFleet();
    long home = serve(1, 500, 77, 2000);
    control.endpointsChanged(
        now,
        EndpointListKind.CHANGES,
        List.of(server(home, READER, 0, ServerLifecycle.DRAINING, 0)));
    assertNotEquals(home, ask(2, SAFE, 500, 77, 2500));
  }

  @Test
  void aServerMissingFromAFullListIsGone() {
    plainFleet();
    control.endpointsChanged(
        now, EndpointListKind.FULL_LIST, List.of(ready(2, READER, 1), ready(12, WRITER, 1)));
    for (int i = 0; i < 8; i++) {
      assertEquals(2, serve(i, i, i, 1000));
    }
  }

  @Test
  void withoutAnyReaderTheRequestIsRefusedInTime() {
    fleet(ready(11, WRITER, 0));
    assertEquals(0, ask(1, SAFE, 1, 0, 1000));
    now += SECOND;
    control.timerFired(now, RequestTimer.QUEUE_TIMEOUT.token(1));
    assertEquals(1, host.of("refuse").size());
  }

  @Test
  void aParkedRequestIsSentWhenAReaderComes() {
    fleet(ready(11, WRITER, 0));
    ask(1, SAFE, 1, 0, 1000);
    control.endpointsChanged(now, EndpointListKind.CHANGES, List.of(ready(1, READER, 0)));
    assertEquals(1, sentTo());
  }

  @Test
  void aLateReadOfAnEndedRequestIsLetGo() {
    plainFleet();
    long reader = ask(1, SAFE, 1, 0, 1000);
    control.clientDisconnected(now, 1);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, true);
    assertEquals(List.of("release"), names());
  }

  @Test
  void eventsOfUnknownRequestsArePassedOver() {
    plainFleet();
    end(99, 0, 1, AttemptOutcome.PROMPT_READ, true);
    control.firstToken(now, 99, 0, 1, 10);
    control.clientDisconnected(now, 99);
    control.timerFired(now, RequestTimer.DEADLINE.token(99));
    assertTrue(host.actions.isEmpty());
  }

  @Test
  void aFailingReaderLosesItsSessions() {
    plainFleet();
    long home = serve(1, 500, 77, 2000);
    ask(2, SAFE, 500, 77, 2000);
    end(2, 0, home, AttemptOutcome.ERROR, false);
    assertNotEquals(home, sentTo(), "the further attempt goes elsewhere");
    ask(3, SAFE, 500, 77, 2000);
    end(3, 0, home, AttemptOutcome.ERROR, false);
    assertNotEquals(home, ask(9, SAFE, 500, 77, 2000), "two failures in a row make a suspect");
  }

  @Test
  void aSilentReaderLosesItsSessionsBeforeAnyOutcome() {
    plainFleet();
    final long home = serve(1, 500, 77, 2000);
    now += SECOND;
    ask(2, SAFE, 500, 77, 2000);
    now += 2 * SECOND;
    assertNotEquals(home, ask(3, SAFE, 500, 77, 2000));
  }

  @Test
  void whereEveryServerLooksBadTheModuleStillChooses() {
    plainFleet();
    for (int i = 1; i < 9; i++) {
      long s = ask(i, SAFE, i, i, 1000);
      end(i, 0, s, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(0, ask(99, SAFE, 99, 99, 1000));
  }

  @Test
  void tokensOfReadsAreGivenBack() {
    plainFleet();
    for (int i = 0; i < 2000; i++) {
      assertNotEquals(
          0, serve(i, i, i % 7, 2000), "request " + i + " was parked: a leak of tokens");
    }
  }

  @Test
  void whatTheWritersCannotTakeIsRefusedBeforeItIsRead() {
    plainFleet();
    int sent = 0;
    for (int i = 0; i < 400; i++) {
      now += 20_000;
      long s = ask(i, SAFE, i, 0, 3000);
      if (s != 0) {
        sent++;
        now += 1;
        end(i, 0, s, AttemptOutcome.PROMPT_READ, false);
        control.firstToken(now, i, 1, sentTo(), 10);
      }
    }
    assertTrue(sent > 50 && sent < 150, "sent " + sent);
  }

  /**
   * Why admission reopens: with nothing under way one request is always let in, and each prompt
   * answer gives room for one more.
   */
  @Test
  void aGatewayThatRefusesProbesItsWayBack() {
    plainFleet();
    long id = 0;
    while (id < 100) {
      firstTokenAfter(++id, SECOND);
    }
    assertNotEquals(0, ask(++id, SAFE, id, 0, 3000), "the probe: nothing else is under way");
    final long probe = id;
    assertEquals(0, ask(++id, SAFE, id, 0, 3000), "no room beside the probe");
    final long refused = id;
    List<Action> waits = host.of("timer").stream().filter(t -> t.value() <= SECOND).toList();
    host.actions.clear();
    now += SECOND;
    waits.forEach(t -> control.timerFired(now, t.id()));
    assertEquals(List.of(refused), host.of("refuse").stream().map(Action::id).toList());
    answer(probe, 10);
    firstTokenAfter(++id, 10);
    firstTokenAfter(++id, 10);
    assertNotEquals(0, ask(++id, SAFE, id, 0, 3000), "the next probe");
    assertNotEquals(
        0,
        ask(++id, SAFE, id, 0, 3000),
        "three prompt answers gave room for one beside it, though of a class of less" + " worth");
  }

  /** One whole request whose first token takes so long. */
  private void firstTokenAfter(long id, long took) {
    assertNotEquals(0, ask(id, SAFE, id, 0, 3000), "request " + id);
    answer(id, took);
  }

  private void answer(long id, long took) {
    long reader =
        host.of("send").stream()
            .filter(a -> a.id() == id)
            .findFirst()
            .map(Action::server)
            .orElse(1L);
    end(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    now += took;
    control.firstToken(now, id, 1, writer, took);
    end(id, 1, writer, AttemptOutcome.OK, true);
  }

  /**
   * Why a breaker reopens: failures fade with time alone, so that a server that was passed over is
   * tried again.
   */
  @Test
  void aServerThatFailedIsTriedAgainOnceItsFailuresHaveFaded() {
    plainFleet();
    long home = serve(1, 500, 77, 2000);
    for (long id = 2; id < 4; id++) {
      ask(id, SAFE, 500, 77, 2000);
      end(id, 0, home, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(home, ask(9, SAFE, 0, 77, 2000));
    now += 4 * OutlierDetector.SCORE_DECAY_MICROS;
    assertEquals(home, ask(10, SAFE, 0, 77, 2000), "the prefix's home again");
  }

  @Test
  void aColdReaderGetsOnlyItsPart() {
    long cold = 5;
    fleet(
        ready(1, READER, 0),
        ready(2, READER, 0),
        ready(11, WRITER, 0),
        server(cold, READER, 0, ServerLifecycle.READY, now - 1000));
    List<Long> to = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      now += 5_000;
      to.add(serveRead(i));
    }
    long coldSends = to.stream().filter(s -> s == cold).count();
    assertTrue(coldSends > 0 && coldSends < 200 / 3 * 0.75, "cold server got " + coldSends);
  }

  private long serveRead(long id) {
    long reader = ask(id, SAFE, id, id, 1000);
    if (reader != 0) {
      now += 1_000;
      end(id, 0, reader, AttemptOutcome.PROMPT_READ, false);
      control.clientDisconnected(now, id);
      end(id, 1, 11, AttemptOutcome.CANCELLED, true);
    }
    return reader;
  }

  /**
   * Answers get lost in servers that otherwise work: a read far over its time is called off and
   * tried again.
   */
  @Test
  void aLostReadIsCalledOffAndReadAgain() {
    plainFleet();
    final long home = ask(1, SAFE, 1, 77, 500);
    now += 620_000;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertTrue(host.of("cancel").isEmpty(), "not before its time");
    now += 310_000;
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertEquals(List.of("cancel"), names());
    end(1, 0, home, AttemptOutcome.CANCELLED, false);
    assertFalse(host.actions.isEmpty(), "a lost read is tried again or answered");
  }

  /** A read that waits in a queue that moves is not lost: calling it off gives its place away. */
  @Test
  void anOverdueReadIsLeftAloneWhileOlderWorkComesBack() {
    plainFleet();
    long home = ask(1, SAFE, 1, 77, 1000);
    now += 50_000;
    assertEquals(home, ask(2, SAFE, 1, 77, 1000));
    now += 100_000;
    end(1, 0, home, AttemptOutcome.PROMPT_READ, false);
    now += 2 * SECOND;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(2));
    assertTrue(host.of("cancel").isEmpty());
  }

  /**
   * Found on a quiet day at size: sessions come to ever other gateways, so only an equal choice
   * meets their text.
   */
  @Test
  void gatewaysAgreeOnASessionsHomeWithoutHavingSeenIt() {
    ServerEntry[] large = new ServerEntry[40];
    for (int i = 0; i < large.length; i++) {
      large[i] = ready(1 + i, i < 30 ? READER : WRITER, i % 8);
    }
    Set<Long> homesOfThePrefix = new HashSet<>();
    for (int session = 1; session <= 30; session++) {
      control = new Control(Recorder.settings(4, true), 7, host);
      fleet(large);
      long one = ask(session, SAFE, session, 77, 3000);
      control = new Control(Recorder.settings(4, true), 1000 + session, host);
      fleet(large);
      assertEquals(one, ask(session, SAFE, session, 77, 3000));
      homesOfThePrefix.add(one);
    }
    assertTrue(
        homesOfThePrefix.size() > 1 && homesOfThePrefix.size() <= 4,
        homesOfThePrefix + " are the homes");
  }

  /**
   * A cold server is told to all gateways at once; one request from each of a hundred would push it
   * over.
   */
  @Test
  void aHundredGatewaysTogetherSpareAColdServer() {
    int atOnce = 0;
    int later = 0;
    for (int gateway = 0; gateway < 100; gateway++) {
      control = new Control(Recorder.settings(4, true), gateway, host);
      now = 100 * SECOND;
      fleet(
          ready(1, READER, 0),
          ready(11, WRITER, 0),
          server(5, READER, 0, ServerLifecycle.READY, now - 1000));
      atOnce += serveRead(1000) == 5 ? 1 : 0;
      for (int i = 1; i < 20; i++) {
        now += SECOND / 4;
        later += serveRead(1000 + i) == 5 ? 1 : 0;
      }
    }
    assertTrue(atOnce < 5, atOnce + " of 100 gateways sent at once");
    assertTrue(later > 100 && later < 1900 / 3, "cold server got " + later + " of 1900");
  }

  /** In a cell with many readers and one writer, most states go to the zone's other writers. */
  @Test
  void aReaderHeavyCellSendsMostOfItsStatesAway() {
    fleet(
        ready(1, READER, 0),
        ready(2, READER, 0),
        ready(3, READER, 0),
        ready(11, WRITER, 0),
        ready(12, WRITER, 1),
        ready(13, WRITER, 1),
        ready(14, WRITER, 1));
    int near = 0;
    for (int i = 0; i < 200; i++) {
      long reader = ask(i, SAFE, i, 0, 800);
      now += 10_000;
      end(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = sentTo();
      near += writer == 11 ? 1 : 0;
      control.firstToken(now, i, 1, writer, 10_000);
      end(i, 1, writer, AttemptOutcome.OK, true);
    }
    assertTrue(near > 20 && near < 100, near + " of 200 stayed in the cell");
  }

  @Test
  void aWriterThatStreamsTooSlowlyIsPassedOver() {
    plainFleet();
    long slow = 0;
    for (int i = 1; i < 60; i++) {
      long reader = ask(i, SAFE, i, i, 1000);
      end(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = sentTo();
      slow = slow == 0 ? writer : slow;
      control.firstToken(now, i, 1, writer, 20_000);
      control.attemptEnded(
          now,
          new AttemptResult(
              i,
              1,
              writer,
              AttemptOutcome.OK,
              writer == slow ? 20 * SECOND : SECOND,
              true,
              0,
              false));
      now += 10_000;
    }
    for (int i = 100; i < 110; i++) {
      long reader = ask(i, SAFE, i, i, 1000);
      end(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      assertNotEquals(slow, sentTo());
      control.clientDisconnected(now, i);
    }
  }

  /**
   * Reads in place slow a mixed server's answers; at size each is seen too rarely, so its like
   * tell.
   */
  @Test
  void mixedServersThatStreamTooSlowlyGetNoMoreReadsInPlace() {
    fleet(
        ready(3, MIXED, 0),
        ready(4, MIXED, 1),
        ready(5, MIXED, 2),
        ready(1, READER, 0),
        ready(11, WRITER, 0));
    int inPlace = 0;
    for (int i = 1; i < 200; i++) {
      long s = ask(i, SAFE, i, 0, 200);
      if (s == 1) {
        control.clientDisconnected(now, i);
        end(i, 0, s, AttemptOutcome.CANCELLED, true);
      } else {
        inPlace += i > 150 ? 1 : 0;
        control.firstToken(now, i, 0, s, 20_000);
        control.attemptEnded(
            now, new AttemptResult(i, 0, s, AttemptOutcome.OK, 15 * SECOND, true, 0, false));
      }
      now += 10_000;
    }
    assertEquals(0, inPlace);
  }

  @Test
  void aStreamThatEndsWithoutEndingItsRequestIsStillAnswered() {
    plainFleet();
    long reader = ask(1, ONCE, 1, 0, 1000);
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    long writer = sentTo();
    control.firstToken(now, 1, 1, writer, 10_000);
    end(1, 1, writer, AttemptOutcome.CANCELLED, false);
    assertEquals(List.of("fail"), names());
  }

  @Test
  void aTimerOfTheReadDoesNotCallOffAWriteThatMayNotBeRepeated() {
    plainFleet();
    long reader = ask(1, ONCE, 1, 0, 1000);
    now += 100_000;
    end(1, 0, reader, AttemptOutcome.PROMPT_READ, false);
    now += 300_000;
    host.actions.clear();
    control.timerFired(now, RequestTimer.ATTEMPT_TIMEOUT.token(1));
    assertTrue(host.of("cancel").isEmpty());
  }

  @Test
  void contradictingSettingsAreNamed() {
    RouterSettings s = Recorder.settings(0, true);
    assertTrue(
        assertThrows(IllegalArgumentException.class, () -> new Control(s, 1, host))
            .getMessage()
            .contains("attempt"));
  }
}
