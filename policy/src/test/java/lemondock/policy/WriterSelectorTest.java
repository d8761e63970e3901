package lemondock.policy;

import static lemondock.policy.RecordingHost.IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.NON_IDEMPOTENT_CLASS;
import static lemondock.policy.RecordingHost.READER;
import static lemondock.policy.RecordingHost.SECOND;
import static lemondock.policy.RecordingHost.WRITER;
import static lemondock.policy.RecordingHost.readyServer;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Selection of the server that writes an answer. */
class WriterSelectorTest extends ControlFixture {
  @Test
  void selectsAWriterInTheZoneOfTheReader() {
    startFleet(
        readyServer(1, READER, 0),
        readyServer(11, WRITER, 0),
        readyServer(12, WRITER, 1),
        readyServer(13, WRITER, 4));
    Set<Long> writers = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      submit(i, IDEMPOTENT_CLASS, i, 0, 800);
      now += 10_000;
      endAttempt(i, 0, 1, AttemptOutcome.PROMPT_READ, false);
      writers.add(lastSentTo());
    }
    assertFalse(
        writers.contains(13L), "another zone is used only if the reader's zone has no writer");
  }

  /** With three readers and one writer in a cell, most states go to the zone's other writers. */
  @Test
  void sendsMostStatesOutOfACellWithTooManyReaders() {
    startFleet(
        readyServer(1, READER, 0),
        readyServer(2, READER, 0),
        readyServer(3, READER, 0),
        readyServer(11, WRITER, 0),
        readyServer(12, WRITER, 1),
        readyServer(13, WRITER, 1),
        readyServer(14, WRITER, 1));
    int sameCellWrites = 0;
    for (int i = 0; i < 200; i++) {
      long reader = submit(i, IDEMPOTENT_CLASS, i, 0, 800);
      now += 10_000;
      endAttempt(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = lastSentTo();
      sameCellWrites += writer == 11 ? 1 : 0;
      control.firstToken(now, i, 1, writer, 10_000);
      endAttempt(i, 1, writer, AttemptOutcome.OK, true);
    }
    assertTrue(
        sameCellWrites > 20 && sameCellWrites < 100,
        sameCellWrites + " of 200 states stayed in the cell");
  }

  @Test
  void skipsAWriterThatStreamsTooSlowly() {
    startSmallFleet();
    long slowWriter = 0;
    for (int i = 1; i < 60; i++) {
      long reader = submit(i, IDEMPOTENT_CLASS, i, i, 1000);
      endAttempt(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      long writer = lastSentTo();
      slowWriter = slowWriter == 0 ? writer : slowWriter;
      control.firstToken(now, i, 1, writer, 20_000);
      control.attemptEnded(
          now,
          AttemptResult.builder()
              .requestId(i)
              .attempt(1)
              .serverId(writer)
              .outcome(AttemptOutcome.OK)
              .elapsedMicros(writer == slowWriter ? 20 * SECOND : SECOND)
              .requestEnded(true)
              .build());
      now += 10_000;
    }
    for (int i = 100; i < 110; i++) {
      long reader = submit(i, IDEMPOTENT_CLASS, i, i, 1000);
      endAttempt(i, 0, reader, AttemptOutcome.PROMPT_READ, false);
      assertNotEquals(slowWriter, lastSentTo());
      control.clientDisconnected(now, i);
    }
  }

  @Test
  void sendsARejectedWriteToAnotherWriter() {
    startSmallFleet();
    readPrompt(1, NON_IDEMPOTENT_CLASS, 1, 0, 1000);
    long writer = lastSentTo();
    endAttempt(1, 1, writer, AttemptOutcome.REJECTED, false);
    assertNotEquals(writer, lastSentTo());
    assertTrue(lastSentTo() > 10);
  }
}
