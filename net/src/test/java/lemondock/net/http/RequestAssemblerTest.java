package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
