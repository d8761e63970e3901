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

/** Requests that are turned away by the first bytes of their content. */
@Timeout(20)
class HttpServerTest {
  /** Bytes of a body that the service needs to decide on an early rejection. */
  private static final int EARLY_REJECTION_BYTES = 600;

  private static final int HEAVY_BODY_BYTES = 1_024;

  /** Body bytes that the server holds; less than a body that is rejected. */
  private static final int BUDGET_BYTES = 64 * 1024;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 8);

  /** Lengths of the bodies that the service was asked early about. */
  private final List<Integer> askedAfterBytes = new CopyOnWriteArrayList<>();

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
                askedAfterBytes.add(request.body().length);
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

  private static byte[] content(char kind, int size) {
    byte[] bytes = new byte[size];
    Arrays.fill(bytes, (byte) kind);
    return bytes;
  }

  /** Sends content by its length, or in chunks of that size; gives status and body. */
  private static String ask(Socket socket, byte[] content, int chunk) throws IOException {
    StringBuilder head = new StringBuilder("POST / HTTP/1.1\r\nhost: x\r\n");
    head.append(chunk == 0 ? "content-length: " + content.length : "transfer-encoding: chunked")
        .append("\r\n\r\n");
    socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
    if (chunk == 0) {
      socket.getOutputStream().write(content);
    }
    for (int at = 0; chunk > 0 && at < content.length; at += chunk) {
      int size = Math.min(chunk, content.length - at);
      socket
          .getOutputStream()
          .write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(content, at, size);
      socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    if (chunk > 0) {
      socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }
    InputStream in = socket.getInputStream();
    List<String> lines = new ArrayList<>();
    StringBuilder line = new StringBuilder();
    int length = 0;
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b != '\n') {
        line.append(b == '\r' ? "" : (char) b);
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
  void aBodyThatIsRejectedEarlyIsDiscardedAndTheConnectionStays() throws IOException {
    try (Socket socket = connect(server)) {
      for (int i = 0; i < 3; i++) {
        assertEquals("503 no", ask(socket, content('x', 20 * BUDGET_BYTES), 0));
        assertEquals("503 no", ask(socket, content('x', 20 * BUDGET_BYTES), 5_000));
        assertEquals("200 5000", ask(socket, content('y', 5_000), 0));
        assertEquals("200 5000", ask(socket, content('y', 5_000), 7));
      }
      assertTrue(
          askedAfterBytes.stream().allMatch(g -> g >= HEAVY_BODY_BYTES && g < BUDGET_BYTES),
          "looked at after " + askedAfterBytes);
      assertEquals(12, askedAfterBytes.size(), "once a request");
    }
  }

  @Test
  void aRequestThatIsNotHeavyIsNotOfferedForEarlyRejection() throws IOException {
    try (Socket socket = connect(server)) {
      assertEquals("200 1000", ask(socket, content('x', 1_000), 0));
      assertEquals("200 0", ask(socket, new byte[0], 0));
      assertEquals(List.of(), askedAfterBytes);
    }
  }

  @Test
  void aBodyBeyondTheBudgetIsRefusedOnceAndClosesTheConnection() throws IOException {
    try (Socket socket = connect(server)) {
      String answer;
      try {
        answer = ask(socket, content('y', 4 * BUDGET_BYTES), 0);
      } catch (IOException e) {
        answer = "503 closed while it was sent";
      }
      assertTrue(answer.startsWith("503"), answer);
    }
    try (Socket socket = connect(server)) {
      assertEquals("200 5000", ask(socket, content('y', 5_000), 0), "the room was given back");
    }
  }

  /** The end of such a request may come with the very bytes that were too many. */
  @Test
  void whatABodyBeyondTheBudgetReservedIsReleased() throws IOException {
    for (int i = 0; i < 5; i++) {
      for (int over : new int[] {1, 20, 400, 3_000}) {
        try (Socket socket = connect(server)) {
          assertTrue(ask(socket, content('y', BUDGET_BYTES * 3 / 4 + over), 0).startsWith("503"));
        }
      }
    }
    String answer;
    do { // the last connection's close may not have been heard yet; the test's time bounds this
      try (Socket socket = connect(server)) {
        answer = ask(socket, content('y', 40_000), 0);
      }
    } while (answer.startsWith("503"));
    assertEquals("200 40000", answer);
  }

  private static final String SMALL = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\ny";

  @Test
  void excessRequestsAreDiscardedAndTheLastResponseSaysClose() throws IOException {
    HttpServer past =
        net.serve(
            discardsExcessRequests(),
            exchange ->
                net.loop()
                    .schedule(
                        1_000,
                        () ->
                            exchange.respond(
                                200, new Headers(), "1".getBytes(StandardCharsets.US_ASCII))));
    try (Socket socket = connect(past)) {
      write(socket, SMALL.repeat(200));
      String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      int answers = all.split("HTTP/1.1 200", -1).length - 1;
      assertTrue(answers >= 16, all);
      assertTrue(answers < 200, all);
      assertTrue(all.lastIndexOf("connection: close") > all.lastIndexOf("HTTP/1.1 200"), all);
    }
    try (Socket socket = connect(past)) {
      assertEquals("200 1", ask(socket, content('y', 45_000), 0), "the room was given back");
    }
  }

  private static HttpServerOptions discardsExcessRequests() {
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

  @Test
  void aCloseIsNoticedBehindAnyNumberOfRequests() throws Exception {
    CountDownLatch served = new CountDownLatch(1);
    CountDownLatch gone = new CountDownLatch(1);
    HttpServer holding =
        net.serve(
            discardsExcessRequests(),
            exchange -> {
              exchange.onDisconnect(gone::countDown);
              served.countDown();
            });
    try (Socket socket = connect(holding)) {
      write(socket, SMALL);
      // so that those behind it fill all the places there are
      assertTrue(served.await(5, TimeUnit.SECONDS));
      write(socket, SMALL.repeat(2_000));
      assertFalse(gone.await(100, TimeUnit.MILLISECONDS));
    }
    assertTrue(gone.await(5, TimeUnit.SECONDS));
  }
}
