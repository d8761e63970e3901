package lemondock.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lemondock.faultinjection.FaultShim.Fault;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Clients that read long answers slowly, while the gateway's system calls fail for a moment. The
 * gateway then waits for sockets to become writable, so failures also meet the registration of a
 * socket after an event, where the JDK ends its I/O thread.
 */
@Timeout(90)
class SlowReaderTest {
  private static final Path PROJECT = Path.of("..").toAbsolutePath().normalize();
  private static final long FAILURES_PER_MILLION = 100_000;
  private static final int CLIENTS = 12;
  private static final int CALLS_PER_CLIENT = 3;
  private static final int EVENT_BYTES = 200_000;
  private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;
  private static final int READ_BYTES = 16 * 1024;
  private static final long READ_PAUSE_MILLIS = 4;
  private static final int READ_TIMEOUT_MILLIS = 10_000;
  private static final long DEADLINE_MICROS = TimeUnit.SECONDS.toMicros(3);
  private static final String STREAM_END = "data: [DONE]\n\n\r\n0\r\n\r\n";

  /** The end of the answer to a request that the router has refused. */
  private static final String REFUSAL_END = "turned away\n";

  @TempDir Path folder;

  /** Descriptions of the answers that were not whole. */
  private final ConcurrentLinkedQueue<String> incomplete = new ConcurrentLinkedQueue<>();

  private final AtomicInteger complete = new AtomicInteger();

  @ParameterizedTest
  @EnumSource(
      value = Fault.class,
      names = {"POLL", "TRANSFER"})
  void failingCallsKeepLongAnswersComplete(Fault fault) throws Exception {
    Optional<Path> library = FaultShim.compile(PROJECT, folder);
    assumeTrue(library.isPresent(), "no C compiler");
    FleetShape shape = new FleetShape(1, 2, 2, 500, 3_000, CLIENTS, 15_000, 250);
    try (ProcessFleet fleet = new ProcessFleet(shape, PROJECT, folder, library, 7)) {
      fleet.start();
      GatewayProcess gateway = fleet.gateways().get(0);
      gateway.shim().orElseThrow().setFailureRate(fault, FAILURES_PER_MILLION);
      List<Thread> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        String name = "slow" + i;
        clients.add(DaemonThreads.start(name, () -> callRepeatedly(gateway, name)));
      }
      for (Thread client : clients) {
        client.join();
      }
      assertEquals(List.of(), List.copyOf(incomplete));
      assertTrue(
          complete.get() >= CLIENTS * CALLS_PER_CLIENT / 2,
          "only " + complete + " calls were served");
      GatewayIncarnation incarnation =
          fleet.runRecord().incarnationAt(gateway.name(), MonotonicClock.nowMicros()).orElseThrow();
      gateway.terminate(shape.killAfterMs());
      assertFalse(incarnation.wasKilled(), "the process did not end on SIGTERM");
    }
  }

  private void callRepeatedly(GatewayProcess gateway, String name) {
    for (int i = 0; i < CALLS_PER_CLIENT; i++) {
      CallEffect effect = i % 2 == 0 ? CallEffect.ONCE : CallEffect.SAFE;
      ClientCall call = new ClientCall(name + "-" + i, gateway.name(), effect, DEADLINE_MICROS);
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.connect(new InetSocketAddress("127.0.0.1", gateway.port()));
        HttpMessageWriter.write(socket, request(call));
        String end = readSlowly(socket.getInputStream());
        if (end.endsWith(STREAM_END)) {
          complete.incrementAndGet();
        } else if (!end.endsWith(REFUSAL_END)) {
          incomplete.add(call.id() + " ended with " + end);
        }
      } catch (IOException | InterruptedException e) {
        incomplete.add(call.id() + ": " + e);
      }
    }
  }

  private static String request(ClientCall call) {
    String header = "\r\n" + ModelServerConnection.EVENT_BYTES_HEADER + ": " + EVENT_BYTES;
    return ChatRequest.format(call, 200, 1).replaceFirst("\r\nx-key", header + "\r\nx-key");
  }

  /** Reads an answer to its end; returns the last bytes. */
  private static String readSlowly(InputStream in) throws IOException, InterruptedException {
    byte[] buffer = new byte[READ_BYTES];
    String end = "";
    int count = 0;
    while (count >= 0 && !end.endsWith(STREAM_END)) {
      String text = end + new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
      end = text.substring(Math.max(0, text.length() - STREAM_END.length()));
      Thread.sleep(READ_PAUSE_MILLIS);
      count = end.endsWith(STREAM_END) ? 0 : in.read(buffer);
    }
    return end;
  }
}
