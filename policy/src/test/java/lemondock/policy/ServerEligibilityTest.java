package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.newServer;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Selection among servers that are draining, gone, failing or in slow start. */
class ServerEligibilityTest extends ControlFixture {
  @Test
  void sendsNothingToADrainingServer() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    control.endpointsChanged(
        now,
        EndpointListKind.CHANGES,
        List.of(newServer(reader, READER, 0, ServerLifecycle.DRAINING, 0)));
    assertNotEquals(reader, submit(2, IDEMPOTENT_CLASS, 500, 77, 2500));
  }

  @Test
  void sendsNothingToAServerMissingFromAFullList() {
    startSmallFleet();
    control.endpointsChanged(
        now,
        EndpointListKind.FULL_LIST,
        List.of(readyServer(2, READER, 1), readyServer(12, WRITER, 1)));
    for (int i = 0; i < 8; i++) {
      assertEquals(2, serveRequest(i, i, i, 1000));
    }
  }

  @Test
  void movesSessionsAwayFromAFailingReader() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    submit(2, IDEMPOTENT_CLASS, 500, 77, 2000);
    endAttempt(2, 0, reader, AttemptOutcome.ERROR, false);
    assertNotEquals(reader, lastSentTo(), "the retry goes to another server");
    submit(3, IDEMPOTENT_CLASS, 500, 77, 2000);
    endAttempt(3, 0, reader, AttemptOutcome.ERROR, false);
    assertNotEquals(
        reader,
        submit(9, IDEMPOTENT_CLASS, 500, 77, 2000),
        "two consecutive failures eject a server");
  }

  @Test
  void movesSessionsFromASilentReaderBeforeItsAttemptEnds() {
    startSmallFleet();
    final long reader = serveRequest(1, 500, 77, 2000);
    now += SECOND;
    submit(2, IDEMPOTENT_CLASS, 500, 77, 2000);
    now += 2 * SECOND;
    assertNotEquals(reader, submit(3, IDEMPOTENT_CLASS, 500, 77, 2000));
  }

  @Test
  void usesAnEjectedServerWhenAllAreEjected() {
    startSmallFleet();
    for (int i = 1; i < 9; i++) {
      long server = submit(i, IDEMPOTENT_CLASS, i, i, 1000);
      endAttempt(i, 0, server, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(0, submit(99, IDEMPOTENT_CLASS, 99, 99, 1000));
  }

  /**
   * Guards against servers that stay ejected forever: failures decay with time alone, so a server
   * that gets no attempts is tried again.
   */
  @Test
  void triesAnEjectedServerAgainAfterItsFailuresDecay() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    for (long id = 2; id < 4; id++) {
      submit(id, IDEMPOTENT_CLASS, 500, 77, 2000);
      endAttempt(id, 0, reader, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(reader, submit(9, IDEMPOTENT_CLASS, 0, 77, 2000));
    now += 4 * OutlierDetector.SCORE_DECAY_MICROS;
    assertEquals(
        reader, submit(10, IDEMPOTENT_CLASS, 0, 77, 2000), "the prefix's primary is used again");
  }

  @Test
  void limitsTheLoadOfAReaderInSlowStart() {
    long warmingUp = 5;
    startFleet(
        readyServer(1, READER, 0),
        readyServer(2, READER, 0),
        readyServer(11, WRITER, 0),
        newServer(warmingUp, READER, 0, ServerLifecycle.READY, now - 1000));
    List<Long> sentTo = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      now += 5_000;
      sentTo.add(serveRead(i));
    }
    long sends = sentTo.stream().filter(server -> server == warmingUp).count();
    assertTrue(
        sends > 0 && sends < 200 / 3 * 0.75, "reads sent to the server in slow start: " + sends);
  }

  /**
   * All gateways learn of a server in slow start at the same time; one request from each of a
   * hundred gateways would overload it.
   */
  @Test
  void aHundredGatewaysDoNotOverloadAServerInSlowStart() {
    int atOnce = 0;
    int later = 0;
    for (int gateway = 0; gateway < 100; gateway++) {
      control = new Control(RecordingHost.settings(4, true), gateway, host);
      now = 100 * SECOND;
      startFleet(
          readyServer(1, READER, 0),
          readyServer(11, WRITER, 0),
          newServer(5, READER, 0, ServerLifecycle.READY, now - 1000));
      atOnce += serveRead(1000) == 5 ? 1 : 0;
      for (int i = 1; i < 20; i++) {
        now += SECOND / 4;
        later += serveRead(1000 + i) == 5 ? 1 : 0;
      }
    }
    assertTrue(atOnce < 5, atOnce + " of 100 gateways used the server in slow start immediately");
    assertTrue(
        later > 100 && later < 1900 / 3,
        "the server in slow start got " + later + " of 1900 later reads");
  }
}
