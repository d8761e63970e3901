package lemondock.gateway.mcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.time.ManualLoop;
import org.junit.jupiter.api.Test;

class SessionTableTest {
  private static final int MAX_SESSIONS = 2;
  private static final double IDLE_MILLIS = 10_000;
  private static final long SECOND_MICROS = 1_000_000;

  private final ManualLoop loop = new ManualLoop(0);
  private int generatedIdCount;
  private final SessionTable sessions =
      new SessionTable(loop, settings(), () -> "session-" + ++generatedIdCount);

  private static GatewaySettings.Front settings() {
    return new GatewaySettings.Front(
        "127.0.0.1:1",
        List.of(),
        List.of(),
        1,
        1,
        1,
        1,
        1,
        MAX_SESSIONS,
        1,
        IDLE_MILLIS,
        0,
        1,
        1,
        1,
        1,
        1);
  }

  @Test
  void sessionIsFoundByIdUntilItEnds() {
    McpSession session = sessions.open("2025-06-18");
    assertSame(session, sessions.findAndMarkUsed("session-1").orElseThrow());
    assertEquals(Optional.empty(), sessions.findAndMarkUsed("session-2"));
    sessions.end(session, "test");
    assertEquals(Optional.empty(), sessions.findAndMarkUsed("session-1"));
    assertTrue(session.hasEnded());
  }

  @Test
  void tableIsFullAtMaxSessions() {
    sessions.open("2025-06-18");
    assertFalse(sessions.isFull());
    McpSession second = sessions.open("2025-06-18");
    assertTrue(sessions.isFull());
    sessions.end(second, "test");
    assertFalse(sessions.isFull());
  }

  @Test
  void idleSessionExpiresAndUsedSessionDoesNot() {
    final McpSession idle = sessions.open("2025-06-18");
    McpSession used = sessions.open("2025-06-18");
    sessions.startExpiry();
    loop.advance(6 * SECOND_MICROS);
    sessions.findAndMarkUsed(used.id());
    loop.advance(6 * SECOND_MICROS);
    assertTrue(idle.hasEnded());
    assertFalse(used.hasEnded());
    assertEquals(1, sessions.size());
    loop.advance(6 * SECOND_MICROS);
    assertEquals(0, sessions.size());
  }

  @Test
  void endAllEndsEverySession() {
    McpSession first = sessions.open("2025-06-18");
    McpSession second = sessions.open("2025-06-18");
    sessions.endAll("test");
    assertTrue(first.hasEnded());
    assertTrue(second.hasEnded());
    assertEquals(0, sessions.size());
    assertEquals(0, sessions.streamCount());
  }

  @Test
  void earlyCancellationIsRemovedOnceAndExpires() {
    McpSession session = sessions.open("2025-06-18");
    session.recordEarlyCancellation("1", loop.now());
    assertTrue(session.removeEarlyCancellation("1", loop.now()));
    assertFalse(session.removeEarlyCancellation("1", loop.now()));
    session.recordEarlyCancellation("2", loop.now());
    assertFalse(session.removeEarlyCancellation("2", loop.now() + 3 * SECOND_MICROS));
  }
}
