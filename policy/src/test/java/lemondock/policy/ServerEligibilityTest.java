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

/** Servers that drain, are gone, fail or have just started. */
class ServerEligibilityTest extends ControlFixture {
  @Test
  void nothingGoesToADrainingServer() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    control.endpointsChanged(
        now,
        EndpointListKind.CHANGES,
        List.of(newServer(reader, READER, 0, ServerLifecycle.DRAINING, 0)));
    assertNotEquals(reader, submit(2, IDEMPOTENT_CLASS, 500, 77, 2500));
  }

  @Test
  void aServerMissingFromAFullListIsGone() {
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
  void aFailingReaderLosesItsSessions() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    submit(2, IDEMPOTENT_CLASS, 500, 77, 2000);
    endAttempt(2, 0, reader, AttemptOutcome.ERROR, false);
    assertNotEquals(reader, lastSentTo(), "the retry goes elsewhere");
    submit(3, IDEMPOTENT_CLASS, 500, 77, 2000);
    endAttempt(3, 0, reader, AttemptOutcome.ERROR, false);
    assertNotEquals(
        reader, submit(9, IDEMPOTENT_CLASS, 500, 77, 2000), "two failures in a row eject a server");
  }

  @Test
  void aSilentReaderLosesItsSessionsBeforeAnyOutcome() {
    startSmallFleet();
    final long reader = serveRequest(1, 500, 77, 2000);
    now += SECOND;
    submit(2, IDEMPOTENT_CLASS, 500, 77, 2000);
    now += 2 * SECOND;
    assertNotEquals(reader, submit(3, IDEMPOTENT_CLASS, 500, 77, 2000));
  }

  @Test
  void whereEveryServerIsEjectedOneIsStillChosen() {
    startSmallFleet();
    for (int i = 1; i < 9; i++) {
      long server = submit(i, IDEMPOTENT_CLASS, i, i, 1000);
      endAttempt(i, 0, server, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(0, submit(99, IDEMPOTENT_CLASS, 99, 99, 1000));
  }

  /**
   * Why an ejected server comes back: failures fade with time alone, so that one that was passed
   * over is tried again.
   */
  @Test
  void anEjectedServerIsTriedAgainOnceItsFailuresHaveDecayed() {
    startSmallFleet();
    long reader = serveRequest(1, 500, 77, 2000);
    for (long id = 2; id < 4; id++) {
      submit(id, IDEMPOTENT_CLASS, 500, 77, 2000);
      endAttempt(id, 0, reader, AttemptOutcome.ERROR, false);
    }
    assertNotEquals(reader, submit(9, IDEMPOTENT_CLASS, 0, 77, 2000));
    now += 4 * OutlierDetector.SCORE_LIFE_MICROS;
    assertEquals(reader, submit(10, IDEMPOTENT_CLASS, 0, 77, 2000), "the prefix's reader again");
  }

  @Test
  void aReaderInSlowStartGetsOnlyItsPart() {
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
    assertTrue(sends > 0 && sends < 200 / 3 * 0.75, "the server in slow start got " + sends);
  }

  /**
   * A server in slow start is listed to all gateways at once; one request from each of a hundred
   * would push it over.
   */
  @Test
  void aHundredGatewaysTogetherSpareAServerInSlowStart() {
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
    assertTrue(atOnce < 5, atOnce + " of 100 gateways sent at once");
    assertTrue(
        later > 100 && later < 1900 / 3, "the server in slow start got " + later + " of 1900");
  }
}
