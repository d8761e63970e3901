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

/** Selection of the server that reads a prompt: sessions, prefixes and mixed servers. */
class ReaderSelectorTest extends ControlFixture {
  @Test
  void usesTheSessionsReaderBeforeThePrefixPrimary() {
    startSmallFleet();
    Set<Long> readers = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      readers.add(serveRequest(i, 500 + i, 77, 2000));
    }
    assertEquals(1, readers.size(), "all requests with one prefix go to one reader");
    assertEquals(
        readers.iterator().next(),
        serveRequest(10, 500, 99, 2500),
        "the session's last reader takes precedence over the hash");
  }

  @Test
  void spreadsPrefixesOverTheReaders() {
    startSmallFleet();
    Set<Long> readers = new HashSet<>();
    for (int i = 0; i < 12; i++) {
      readers.add(serveRequest(i, 500 + i, 1000 + i, 2000));
    }
    assertEquals(Set.of(1L, 2L), readers);
  }

  @Test
  void evictsASessionAfterItsTimeToLive() {
    startSmallFleet();
    long first = serveRequest(1, 500, 77, 2000);
    long other = 0;
    for (long prefix = 1; other == 0 || other == first; prefix++) {
      other = serveRequest(100 + prefix, 900 + prefix, prefix, 2000);
      if (other != first) {
        now += SessionTable.TTL_MICROS + SECOND;
        control.timerFired(now, RequestTimer.REAP_SESSIONS.token());
        assertEquals(other, submit(5000, IDEMPOTENT_CLASS, 500, prefix, 2500));
      }
    }
  }

  @Test
  void readersGetLongPromptsAndMixedServersAnswerShortOnes() {
    startFleet(readyServer(3, MIXED, 0), readyServer(1, READER, 0), readyServer(11, WRITER, 0));
    assertEquals(1, submit(1, IDEMPOTENT_CLASS, 1, 0, ReaderSelector.LONG_READ_TOKENS + 500));
    boolean usedMixedServer = false;
    for (int i = 2; i < 30 && !usedMixedServer; i++) {
      if (submit(i, IDEMPOTENT_CLASS, i, 0, 200) == 3) {
        usedMixedServer = true;
        control.firstToken(now + 1000, i, 0, 3, 1000);
        endAttempt(i, 0, 3, AttemptOutcome.OK, true);
        assertTrue(
            host.actionsNamed("send").isEmpty(),
            "nothing more is sent after the mixed server has answered");
      }
    }
    assertTrue(usedMixedServer);
  }

  /**
   * Guards against cache misses in a large fleet, first seen at low load: each turn of a session
   * may arrive at another gateway, so the prompt is found in a cache only if all gateways choose
   * the same primary.
   */
  @Test
  void gatewaysSelectTheSamePrimaryForAnUnknownSession() {
    ServerEntry[] large = new ServerEntry[40];
    for (int i = 0; i < large.length; i++) {
      large[i] = readyServer(1 + i, i < 30 ? READER : WRITER, i % 8);
    }
    Set<Long> primariesOfThePrefix = new HashSet<>();
    for (int session = 1; session <= 30; session++) {
      control = new Control(RecordingHost.settings(4, true), 7, host);
      startFleet(large);
      long primary = submit(session, IDEMPOTENT_CLASS, session, 77, 3000);
      control = new Control(RecordingHost.settings(4, true), 1000 + session, host);
      startFleet(large);
      assertEquals(primary, submit(session, IDEMPOTENT_CLASS, session, 77, 3000));
      primariesOfThePrefix.add(primary);
    }
    assertTrue(
        primariesOfThePrefix.size() > 1 && primariesOfThePrefix.size() <= 4,
        "primaries of the prefix: " + primariesOfThePrefix);
  }

  /**
   * Prompts read on a mixed server slow down the answers that it streams. In a large fleet one
   * gateway sees each server too rarely, so the statistics of the role decide.
   */
  @Test
  void sendsNoReadsToMixedServersThatStreamTooSlowly() {
    startFleet(
        readyServer(3, MIXED, 0),
        readyServer(4, MIXED, 1),
        readyServer(5, MIXED, 2),
        readyServer(1, READER, 0),
        readyServer(11, WRITER, 0));
    int mixedServerReads = 0;
    for (int i = 1; i < 200; i++) {
      long server = submit(i, IDEMPOTENT_CLASS, i, 0, 200);
      if (server == 1) {
        control.clientDisconnected(now, i);
        endAttempt(i, 0, server, AttemptOutcome.CANCELLED, true);
      } else {
        mixedServerReads += i > 150 ? 1 : 0;
        control.firstToken(now, i, 0, server, 20_000);
        control.attemptEnded(
            now,
            AttemptResult.builder()
                .requestId(i)
                .serverId(server)
                .outcome(AttemptOutcome.OK)
                .elapsedMicros(15 * SECOND)
                .requestEnded(true)
                .build());
      }
      now += 10_000;
    }
    assertEquals(0, mixedServerReads);
  }
}
