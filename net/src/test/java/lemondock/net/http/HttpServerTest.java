package lemondock.net.http;

import static lemondock.net.testing.NetworkExtension.connect;
import static lemondock.net.testing.NetworkExtension.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests early rejection, the budget for bodies and the discarding of excess requests. */
@Timeout(20)
class HttpServerTest {
  /** Body bytes that the service needs to decide on an early rejection. */
  private static final int EARLY_REJECTION_BYTES = 600;

  private static final int HEAVY_BODY_BYTES = 1_024;

  /** Body bytes that the server may hold; fewer than a rejected body has. */
  private static final int BUDGET_BYTES = 64 * 1024;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 8);

  /** Body bytes received when the service was asked for an early rejection. */
  private final List<Integer> earlyRejectionBodyBytes = new CopyOnWriteArrayList<>();

  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        net.serve(
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(10)
                .maxBufferedBodyBytes(BUDGET_BYTES)
                .idleTimeoutMicros(10_000_000)
                .requestTimeoutMicros(10_000_000)
                .stallTimeoutMicros(10_000_000)
                .heavyBodies(HEAVY_BODY_BYTES, Runnable::run)
                .build(),
            new HttpService() {
              @Override
              public int earlyRejectionBytes() {
                return EARLY_REJECTION_BYTES;
              }

              @Override
              public Optional<HttpRejection> rejectEarly(HttpRequest request) {
                earlyRejectionBodyBytes.add(request.body().length);
                return request.body()[0] != 'x'
                    ? Optional.empty()
                    : Optional.of(
                        new HttpRejection(
                            7, "text/plain", "no".getBytes(StandardCharsets.US_ASCII), () -> {}));
              }

              @Override
              public void serve(HttpExchange exchange) {
                exchange.respond(
                    200,
                    new Headers(),
                    Integer.toString(exchange.request().body().length)
                        .getBytes(StandardCharsets.US_ASCII));
              }
            });
  }

  private static byte[] content(char fill, int size) {
    byte[] bytes = new byte[size];
    Arrays.fill(bytes, (byte) fill);
    return bytes;
  }

  /**
   * Sends content with its length, or in chunks of {@code chunkBytes} if that is not 0.
   *
   * @return status and body of the response
   */
  private static String post(Socket socket, byte[] content, int chunkBytes) throws IOException {
    StringBuilder head = new StringBuilder("POST / HTTP/1.1\r\nhost: x\r\n");
    head.append(
            chunkBytes == 0 ? "content-length: " + content.length : "transfer-encoding: chunked")
        .append("\r\n\r\n");
    socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
    if (chunkBytes == 0) {
      socket.getOutputStream().write(content);
    }
    for (int offset = 0; chunkBytes > 0 && offset < content.length; offset += chunkBytes) {
      int size = Math.min(chunkBytes, content.length - offset);
      socket
          .getOutputStream()
          .write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(content, offset, size);
      socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    if (chunkBytes > 0) {
      socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    InputStream in = socket.getInputStream();
    List<String> lines = new ArrayList<>();
    StringBuilder line = new StringBuilder();
    int length = 0;
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next != '\n') {
        line.append(next == '\r' ? "" : (char) next);
        continue;
      }
      if (line.isEmpty()) {
        return lines.get(0).split(" ")[1]
            + " "
            + new String(in.readNBytes(length), StandardCharsets.US_ASCII);
      }
      if (line.toString().toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
      lines.add(line.toString());
      line.setLength(0);
    }
    return "closed after " + lines;
  }

  @Test
  void earlyRejectedBodyIsDiscardedAndConnectionKept() throws IOException {
    try (Socket socket = connect(server)) {
      for (int i = 0; i < 3; i++) {
        assertEquals("503 no", post(socket, content('x', 20 * BUDGET_BYTES), 0));
        assertEquals("503 no", post(socket, content('x', 20 * BUDGET_BYTES), 5_000));
        assertEquals("200 5000", post(socket, content('y', 5_000), 0));
        assertEquals("200 5000", post(socket, content('y', 5_000), 7));
      }
      assertTrue(
          earlyRejectionBodyBytes.stream()
              .allMatch(bytes -> bytes >= HEAVY_BODY_BYTES && bytes < BUDGET_BYTES),
          "asked for an early rejection after body bytes " + earlyRejectionBodyBytes);
      assertEquals(12, earlyRejectionBodyBytes.size(), "asked exactly once per heavy request");
    }
  }

  @Test
  void lightRequestIsNotOfferedForEarlyRejection() throws IOException {
    try (Socket socket = connect(server)) {
      assertEquals("200 1000", post(socket, content('x', 1_000), 0));
      assertEquals("200 0", post(socket, new byte[0], 0));
      assertEquals(List.of(), earlyRejectionBodyBytes);
    }
  }

  /**
   * A usual client that keeps its connection would send its next request to a closed one, and that
   * request would be lost.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 5_000})
  void bodyBeyondTheBudgetGets503AndKeepsTheConnection(int chunkBytes) throws IOException {
    try (Socket socket = connect(server)) {
      for (int i = 0; i < 3; i++) {
        String response = post(socket, content('y', 4 * BUDGET_BYTES), chunkBytes);
        assertTrue(response.startsWith("503 no room"), response);
        assertEquals("200 5000", post(socket, content('y', 5_000), 0), "the budget was released");
      }
    }
  }

  /** The end of a request may arrive in the same bytes that exceed the budget. */
  @Test
  void reservationOfABodyBeyondTheBudgetIsReleased() throws IOException {
    for (int i = 0; i < 5; i++) {
      for (int excessBytes : new int[] {1, 20, 400, 3_000}) {
        try (Socket socket = connect(server)) {
          assertTrue(
              post(socket, content('y', BUDGET_BYTES * 3 / 4 + excessBytes), 0).startsWith("503"));
        }
      }
    }
    String response;
    do { // the server may not have noticed the last close yet; the test's timeout ends the loop
      try (Socket socket = connect(server)) {
        response = post(socket, content('y', 40_000), 0);
      }
    } while (response.startsWith("503"));
    assertEquals("200 40000", response);
  }

  private static final String SMALL_REQUEST =
      "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\ny";

  @Test
  void excessRequestsAreRejectedAndLastResponseCloses() throws IOException {
    HttpServer discarding =
        net.serve(
            discardingOptions(),
            exchange ->
                net.loop()
                    .schedule(
                        1_000,
                        () ->
                            exchange.respond(
                                200, new Headers(), "1".getBytes(StandardCharsets.US_ASCII))));
    try (Socket socket = connect(discarding)) {
      write(socket, SMALL_REQUEST.repeat(200));
      String responseText =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      int responses = responseText.split("HTTP/1.1 200", -1).length - 1;
      assertTrue(responses >= 16, responseText);
      assertTrue(responses < 200, responseText);
      assertTrue(
          responseText.lastIndexOf("connection: close") > responseText.lastIndexOf("HTTP/1.1 200"),
          responseText);
      int rejections = responseText.split("HTTP/1.1 503", -1).length - 1;
      assertEquals(200, responses + rejections, "each request that was read gets a response");
    }
    try (Socket socket = connect(discarding)) {
      assertEquals("200 1", post(socket, content('y', 45_000), 0), "the budget was released");
    }
  }

  private static HttpServerOptions discardingOptions() {
    return HttpServerOptions.builder()
        .limits(HttpLimits.DEFAULT)
        .maxConnections(10)
        .maxBufferedBodyBytes(BUDGET_BYTES)
        .idleTimeoutMicros(10_000_000)
        .requestTimeoutMicros(10_000_000)
        .stallTimeoutMicros(10_000_000)
        .discardExcessRequests()
        .build();
  }

  /** Bytes that are no request must not take the response from a request before them. */
  @ParameterizedTest
  @ValueSource(longs = {0, 10})
  void requestBeforeMalformedBytesGetsItsResponse(long pauseMillis) throws Exception {
    HttpServer slow =
        net.serve(
            discardingOptions(),
            exchange ->
                net.loop()
                    .schedule(
                        50_000,
                        () ->
                            exchange.respond(
                                200, new Headers(), "1".getBytes(StandardCharsets.US_ASCII))));
    try (Socket socket = connect(slow)) {
      write(socket, SMALL_REQUEST.repeat(2) + (pauseMillis == 0 ? "NONSENSE\r\n\r\n" : ""));
      Thread.sleep(pauseMillis);
      write(socket, "NONSENSE\r\n\r\n".repeat(3));
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(3, responses.split("HTTP/1.1 200", -1).length, responses);
      assertTrue(
          responses.lastIndexOf("HTTP/1.1 400") > responses.lastIndexOf("HTTP/1.1 200"), responses);
    }
  }

  /** A request that stays incomplete must not take the response from a request before it. */
  @Test
  void requestBeforeAnIncompleteOneGetsItsResponse() throws Exception {
    HttpServer slow =
        net.serve(
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(10)
                .maxBufferedBodyBytes(BUDGET_BYTES)
                .idleTimeoutMicros(10_000_000)
                .requestTimeoutMicros(50_000)
                .stallTimeoutMicros(10_000_000)
                .build(),
            exchange ->
                net.loop()
                    .schedule(
                        200_000,
                        () ->
                            exchange.respond(
                                200, new Headers(), "1".getBytes(StandardCharsets.US_ASCII))));
    try (Socket socket = connect(slow)) {
      write(socket, SMALL_REQUEST + "POST / HTTP/1.1\r\nhost:");
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(responses.startsWith("HTTP/1.1 200"), responses);
      assertTrue(responses.contains("HTTP/1.1 408"), responses);
    }
  }

  @Test
  void disconnectIsDetectedBehindManyQueuedRequests() throws Exception {
    CountDownLatch served = new CountDownLatch(1);
    CountDownLatch disconnected = new CountDownLatch(1);
    HttpServer holding =
        net.serve(
            discardingOptions(),
            exchange -> {
              exchange.onDisconnect(disconnected::countDown);
              served.countDown();
            });
    try (Socket socket = connect(holding)) {
      write(socket, SMALL_REQUEST);
      // this request has left the queue, so that the following ones fill it
      assertTrue(served.await(5, TimeUnit.SECONDS));
      write(socket, SMALL_REQUEST.repeat(2_000));
      assertFalse(disconnected.await(100, TimeUnit.MILLISECONDS));
    }
    assertTrue(disconnected.await(5, TimeUnit.SECONDS));
  }
}
