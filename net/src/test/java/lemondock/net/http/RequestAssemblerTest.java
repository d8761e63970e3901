package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.ByteBudget;
import org.junit.jupiter.api.Test;

/** The reservations of bodies when a close overtakes the bytes or the requests of a connection. */
class RequestAssemblerTest {
  private static final int BUDGET_BYTES = 100_000;
  private static final String HEAD = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n";

  private final ByteBudget budget = new ByteBudget(BUDGET_BYTES);
  private final HttpServerOptions options =
      HttpServerOptions.builder()
          .limits(HttpLimits.DEFAULT)
          .maxConnections(1)
          .maxBufferedBodyBytes(BUDGET_BYTES)
          .idleTimeoutMicros(1)
          .requestTimeoutMicros(1)
          .stallTimeoutMicros(1)
          .build();
  private final RequestAssembler assembler = new RequestAssembler(options, exchange -> {}, budget);

  private List<Object> decode(String text) {
    List<Object> events = new ArrayList<>();
    assembler.decode(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)), events);
    return events;
  }

  /** Memory that is held but not counted fills the heap, whatever the sum of the contents is. */
  @Test
  void bufferOfAGrowingBodyIsReservedWhole() {
    decode("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
    decode("12c\r\n" + "x".repeat(300) + "\r\n");
    assertEquals(300, budget.reservedBytes());
    decode("1\r\ny\r\n");
    assertEquals(600, budget.reservedBytes(), "the buffer has doubled");
    decode("0\r\n\r\n");
    assertEquals(301, budget.reservedBytes(), "the request has a copy of its own length");
  }

  /** A large head is held as long as a body, so a crowd of large heads needs a limit too. */
  @Test
  void largeHeadIsReservedUntilItsRequestIsTaken() {
    decode("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\na: " + "x".repeat(6_000));
    long incomplete = budget.reservedBytes();
    assertTrue(incomplete > 6_000, "reserved for the incomplete head: " + incomplete);
    decode("\r\n\r\n");
    assertTrue(budget.reservedBytes() > 6_000, "reserved for the head: " + budget.reservedBytes());
    QueuedRequest request = (QueuedRequest) decode("y").get(0);
    assertEquals(request.reservedBytes(), budget.reservedBytes());
    assertTrue(request.reservedBytes() > 6_000);
    assembler.close();
    assertEquals(0, budget.reservedBytes());
  }

  @Test
  void longTargetIsReservedUntilItsRequestIsTaken() {
    decode("POST /" + "x".repeat(6_000) + " HTTP/1.1\r\n");
    assertTrue(budget.reservedBytes() > 6_000, "incomplete head: " + budget.reservedBytes());
    QueuedRequest request = (QueuedRequest) decode("host: x\r\ncontent-length: 1\r\n\r\ny").get(0);
    assertTrue(request.reservedBytes() > 6_000);
    assertEquals(request.reservedBytes(), budget.reservedBytes());
  }

  /** The line of a chunk's size may be as long as a field, and may stay incomplete as well. */
  @Test
  void longChunkLineIsReserved() {
    decode("POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n");
    decode("1;" + "x".repeat(6_000));
    assertTrue(budget.reservedBytes() > 6_000, "reserved: " + budget.reservedBytes());
    assembler.close();
    assertEquals(0, budget.reservedBytes());
  }

  @Test
  void incompleteHeadWithoutRoomEndsTheInput() {
    budget.tryReserve(BUDGET_BYTES - 4_000);
    List<Object> events = decode("POST / HTTP/1.1\r\nhost: x\r\na: " + "x".repeat(6_000));
    assertTrue(
        events.stream()
            .anyMatch(
                event ->
                    event instanceof HttpEvent.Malformed malformed && malformed.status() == 503),
        events.toString());
    assertEquals(BUDGET_BYTES - 4_000, budget.reservedBytes());
  }

  /** The I/O thread may still be decoding when the loop handles the close. */
  @Test
  void bytesBehindTheCloseReserveNothing() {
    decode(HEAD + "x".repeat(400));
    assertEquals(400, budget.reservedBytes());
    assembler.close();
    decode("x".repeat(300));
    assertEquals(0, budget.reservedBytes());
  }

  /** A close drops the events that were decoded before it and are not handled yet. */
  @Test
  void requestsThatWereNotTakenAreReleasedAtTheClose() {
    List<Object> events = decode((HEAD + "x".repeat(1000)).repeat(2));
    assertEquals(2_000, budget.reservedBytes());
    assembler.requestTaken((QueuedRequest) events.get(0));
    assembler.close();
    assertEquals(1_000, budget.reservedBytes(), "the request that was taken keeps its reservation");
  }
}
