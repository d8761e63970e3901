package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that are turned away by the first bytes of their content. */
@Timeout(20)
class HttpServerTest {
  private static final int GLANCE = 600;

  /** Less than the content that is turned away. */
  private static final int ROOM = 64 * 1024;

  private final ThreadLoop loop = new ThreadLoop("server", Throwable::printStackTrace);
  private final List<Integer> glances = new CopyOnWriteArrayList<>();
  private AsyncNetwork network;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    network = new AsyncNetwork(loop, 1);
    server =
        new HttpServer(
            loop,
            new HttpServerOptions(
                HttpLimits.DEFAULT,
                10,
                ROOM,
                10_000_000,
                10_000_000,
                10_000_000,
                1_024,
                Runnable::run),
            new HttpService() {
              @Override
              public int earlyRejectionBytes() {
                return GLANCE;
              }

              @Override
              public HttpRejection rejectEarly(HttpRequest request) {
                glances.add(request.body().length);
                return request.body()[0] != 'x'
                    ? null
                    : new HttpRejection(
                        7, "text/plain", "no".getBytes(StandardCharsets.US_ASCII), () -> {});
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
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
  }

  @AfterEach
  void stop() throws IOException {
    network.close();
    loop.close();
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
  void whatIsTurnedAwayIsReadPastNotKeptAndTheConnectionStays() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      for (int i = 0; i < 3; i++) {
        assertEquals("503 no", ask(socket, content('x', 20 * ROOM), 0));
        assertEquals("503 no", ask(socket, content('x', 20 * ROOM), 5_000));
        assertEquals("200 5000", ask(socket, content('y', 5_000), 0));
        assertEquals("200 5000", ask(socket, content('y', 5_000), 7));
      }
      assertTrue(
          glances.stream().allMatch(g -> g >= 1_024 && g < ROOM), "looked at after " + glances);
      assertEquals(12, glances.size(), "once a request");
    }
  }

  @Test
  void whatIsNotHeavyIsNotLookedAt() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      assertEquals("200 1000", ask(socket, content('x', 1_000), 0));
      assertEquals("200 0", ask(socket, new byte[0], 0));
      assertEquals(List.of(), glances);
    }
  }

  @Test
  void contentBeyondTheRoomIsRefusedOnceAndClosesTheConnection() throws IOException {
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      String answer;
      try {
        answer = ask(socket, content('y', 4 * ROOM), 0);
      } catch (IOException e) {
        answer = "503 closed while it was sent";
      }
      assertTrue(answer.startsWith("503"), answer);
    }
    try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
      assertEquals("200 5000", ask(socket, content('y', 5_000), 0), "the room was given back");
    }
  }

  /** The end of such a request may come with the very bytes that were too many. */
  @Test
  void whatWasTakenOfContentThatEndsBeyondTheRoomIsGivenBack() throws IOException {
    for (int i = 0; i < 5; i++) {
      for (int over : new int[] {1, 20, 400, 3_000}) {
        try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
          assertTrue(ask(socket, content('y', ROOM * 3 / 4 + over), 0).startsWith("503"));
        }
      }
    }
    String answer;
    do { // the last connection's close may not have been heard yet; the test's time bounds this
      try (Socket socket = new Socket("127.0.0.1", server.address().getPort())) {
        answer = ask(socket, content('y', 40_000), 0);
      }
    } while (answer.startsWith("503"));
    assertEquals("200 40000", answer);
  }

  private static final String SMALL = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\ny";

  @Test
  void moreThanMayWaitIsReadPastAndTheLastAnswerSaysClose() throws IOException {
    HttpServer past =
        new HttpServer(
            loop,
            readsPast(),
            exchange ->
                loop.schedule(
                    1_000,
                    () ->
                        exchange.respond(
                            200, new Headers(), "1".getBytes(StandardCharsets.US_ASCII))));
    past.start(network, new InetSocketAddress("127.0.0.1", 0));
    try (Socket socket = new Socket("127.0.0.1", past.address().getPort())) {
      socket.getOutputStream().write(SMALL.repeat(200).getBytes(StandardCharsets.US_ASCII));
      String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      int answers = all.split("HTTP/1.1 200", -1).length - 1;
      assertTrue(answers >= 16, all);
      assertTrue(answers < 200, all);
      assertTrue(all.lastIndexOf("connection: close") > all.lastIndexOf("HTTP/1.1 200"), all);
    }
    try (Socket socket = new Socket("127.0.0.1", past.address().getPort())) {
      assertEquals("200 1", ask(socket, content('y', 45_000), 0), "the room was given back");
    }
  }

  private static HttpServerOptions readsPast() {
    return new HttpServerOptions(
        HttpLimits.DEFAULT,
        10,
        ROOM,
        10_000_000,
        10_000_000,
        10_000_000,
        Integer.MAX_VALUE,
        Runnable::run,
        0,
        true);
  }

  @Test
  void aCloseIsSeenBehindAnyNumberOfRequests() throws Exception {
    CountDownLatch served = new CountDownLatch(1);
    CountDownLatch gone = new CountDownLatch(1);
    HttpServer holding =
        new HttpServer(
            loop,
            readsPast(),
            exchange -> {
              exchange.onDisconnect(gone::countDown);
              served.countDown();
            });
    holding.start(network, new InetSocketAddress("127.0.0.1", 0));
    try (Socket socket = new Socket("127.0.0.1", holding.address().getPort())) {
      socket.getOutputStream().write(SMALL.getBytes(StandardCharsets.US_ASCII));
      assertTrue(
          served.await(5, TimeUnit.SECONDS)); // so that those behind it fill all the places there
      // are
      socket.getOutputStream().write(SMALL.repeat(2_000).getBytes(StandardCharsets.US_ASCII));
      assertFalse(gone.await(100, TimeUnit.MILLISECONDS));
    }
    assertTrue(gone.await(5, TimeUnit.SECONDS));
  }
}
