package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.lang.Thread.State;
import java.net.Socket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemondock.faultinjection.HttpMessageReader.Message;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class ModelServerTest {
  private static final int CONNECTIONS = 200;
  private static final long POLL_INTERVAL_MICROS = 5_000;

  /** Its read takes 5 s. */
  private static final int LONG_PROMPT_BYTES = 1_000_000;

  /** Threads beyond those that were started in advance wait for a limited time only. */
  private static final Set<State> IDLE = EnumSet.of(State.WAITING, State.TIMED_WAITING);

  private static final String RELEASE = "DELETE /state/none HTTP/1.1\r\n\r\n";

  /** Under load, starting a thread for each connection made their requests arrive seconds late. */
  @Test
  void burstOfConnectionsIsServedByThreadsStartedInAdvance() throws Exception {
    ModelServer.Options options =
        new ModelServer.Options("r0", "zone", ServerRole.READER, 1, 0, StreamPace.USUAL);
    try (ModelServer server = new ModelServer(options, new RunRecord())) {
      awaitIdleThreads();
      Set<Thread> threadsBefore = servingThreads();
      List<Socket> connections = connect(server);
      for (Socket connection : connections) {
        Message answer = HttpMessageReader.read(connection.getInputStream()).orElseThrow();
        assertEquals(204, answer.status());
      }
      Set<Thread> startedThreads = servingThreads();
      startedThreads.removeAll(threadsBefore);
      assertEquals(Set.of(), startedThreads);
      for (Socket connection : connections) {
        connection.close();
      }
    }
  }

  /** Writes that waited for longer kept states reserved after their gateways' last release. */
  @Test
  void attemptWaitsForSlotUntilItsDeadlineAtMost() throws Exception {
    long longQueueMicros = TimeUnit.SECONDS.toMicros(20);
    ModelServer.Options options =
        new ModelServer.Options(
            "r0", "zone", ServerRole.READER, 1, longQueueMicros, StreamPace.USUAL);
    try (ModelServer server = new ModelServer(options, new RunRecord());
        Socket running = new Socket();
        Socket waiting = new Socket()) {
      running.connect(server.address());
      running.getOutputStream().write(read("running", 20_000, LONG_PROMPT_BYTES));
      while (server.freeSlots().availablePermits() > 0) {
        MonotonicClock.sleepMicros(POLL_INTERVAL_MICROS);
      }
      waiting.connect(server.address());
      waiting.getOutputStream().write(read("waiting", 100, 0));
      Message answer = HttpMessageReader.read(waiting.getInputStream()).orElseThrow();
      assertEquals(503, answer.status());
      assertEquals("1", answer.header("x-not-run").orElseThrow());
    }
  }

  private static byte[] read(String requestId, long deadlineMillis, int promptBytes) {
    String head =
        "POST / HTTP/1.1\r\nx-request-id: %s\r\nx-deadline-ms: %d\r\ncontent-length: %d\r\n\r\n"
            .formatted(requestId, deadlineMillis, promptBytes);
    return (head + "p".repeat(promptBytes)).getBytes();
  }

  private static List<Socket> connect(ModelServer server) throws IOException {
    List<Socket> connections = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      Socket connection = new Socket();
      connection.connect(server.address());
      connection.getOutputStream().write(RELEASE.getBytes());
      connections.add(connection);
    }
    return connections;
  }

  private static void awaitIdleThreads() {
    while (servingThreads().stream().anyMatch(thread -> !IDLE.contains(thread.getState()))) {
      MonotonicClock.sleepMicros(POLL_INTERVAL_MICROS);
    }
  }

  private static Set<Thread> servingThreads() {
    return Thread.getAllStackTraces().keySet().stream()
        .filter(thread -> thread.getName().startsWith("serve"))
        .collect(Collectors.toSet());
  }
}
