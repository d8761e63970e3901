package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.MIXED;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which server reads a prompt: sessions, prefixes and mixed servers. */
class ReaderSelectorTest extends ControlFixture {
  @Test
  void aSessionReturnsToItsReaderAndAPrefixHasOnePrimary() {
    startSmallFleet();
    Set<Long> homes = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      homes.add(serveRequest(i, 500 + i, 77, 2000));
    }
    assertEquals(1, homes.size(), "one prefix is read at one reader");
    assertEquals(
        homes.iterator().next(),
        serveRequest(10, 500, 99, 2500),
        "the table comes before the hash");
  }

  @Test
  void prefixesSpreadOverTheReaders() {
    startSmallFleet();
    Set<Long> homes = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      homes.add(serveRequest(i, 500 + i, 1000 + i, 2000));
    }
    assertEquals(Set.of(1L, 2L), homes);
  }

  @Test
  void aSessionIsForgottenAfterItsTimeToLive() {
    startSmallFleet();
    long first = serveRequest(1, 500, 77, 2000);
    long other = 0;
    for (long prefix = 1; other == 0 || other == first; prefix++) {
      other = serveRequest(100 + prefix, 900 + prefix, prefix, 2000);
      if (other != first) {
        now += SessionTable.TTL_MICROS + SECOND;
        control.timerFired(now, 2);
        assertEquals(other, submit(5000, IDEMPOTENT_CLASS, 500, prefix, 2500));
      }
    }
  }

  @Test
  void aMixedServerWritesInPlaceAndLongPromptsGoToReaders() {
    startFleet(readyServer(3, MIXED, 0), readyServer(1, READER, 0), readyServer(11, WRITER, 0));
    assertEquals(1, submit(1, IDEMPOTENT_CLASS, 1, 0, ReaderSelector.LONG_READ_TOKENS + 500));
    boolean mixed = false;
    for (int i = 2; i < 30 && !mixed; i++) {
      if (submit(i, IDEMPOTENT_CLASS, i, 0, 200) == 3) {
        mixed = true;
        control.firstToken(now + 1000, i, 0, 3, 1000);
        endAttempt(i, 0, 3, AttemptOutcome.OK, true);
        assertTrue(
            host.actionsNamed("send").isEmpty(), "nothing more is sent once it answered in place");
      }
    }
    assertTrue(mixed);
  }

  /**
   * Found on a quiet day at size: sessions come to ever other gateways, so only an equal choice
   * meets their text.
   */
  @Test
  void gatewaysAgreeOnASessionsPrimaryWithoutHavingSeenIt() {
    ServerEntry[] large = new ServerEntry[40];
    for (int i = 0; i < large.length; i++) {
      large[i] = readyServer(1 + i, i < 30 ? READER : WRITER, i % 8);
    }
    Set<Long> homesOfThePrefix = new HashSet<>();
    for (int session = 1; session <= 30; session++) {
      control = new Control(RecordingHost.settings(4, true), 7, host);
      startFleet(large);
      long one = submit(session, IDEMPOTENT_CLASS, session, 77, 3000);
      control = new Control(RecordingHost.settings(4, true), 1000 + session, host);
      startFleet(large);
      assertEquals(one, submit(session, IDEMPOTENT_CLASS, session, 77, 3000));
      homesOfThePrefix.add(one);
    }
    assertTrue(
        homesOfThePrefix.size() > 1 && homesOfThePrefix.size() <= 4,
        homesOfThePrefix + " are the homes");
  }

  /**
   * Reads in place slow a mixed server's answers; at size each is seen too rarely, so its like
   * tell.
   */
  @Test
  void mixedServersThatStreamTooSlowlyGetNoMoreReadsInPlace() {
    startFleet(
        readyServer(3, MIXED, 0),
        readyServer(4, MIXED, 1),
        readyServer(5, MIXED, 2),
        readyServer(1, READER, 0),
        readyServer(11, WRITER, 0));
    int inPlace = 0;
    for (int i = 1; i < 200; i++) {
      long s = submit(i, IDEMPOTENT_CLASS, i, 0, 200);
      if (s == 1) {
        control.clientDisconnected(now, i);
        endAttempt(i, 0, s, AttemptOutcome.CANCELLED, true);
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
}
