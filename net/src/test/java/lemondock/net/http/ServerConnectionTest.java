package lemondock.net.http;

import static lemondock.net.testing.NetworkExtension.ask;
import static lemondock.net.testing.NetworkExtension.await;
import static lemondock.net.testing.NetworkExtension.connect;
import static lemondock.net.testing.NetworkExtension.readAll;
import static lemondock.net.testing.NetworkExtension.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Tests the server over real sockets; plain sockets act as misbehaving clients. */
class ServerConnectionTest {
  private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 20, 10_000);

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(2, 8);

  private final PathService service = new PathService();
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        net.serve(
            HttpServerOptions.builder()
                .limits(LIMITS)
                .maxConnections(5)
                .maxBufferedBodyBytes(15_000)
                .idleTimeoutMicros(300_000)
                .requestTimeoutMicros(200_000)
                .stallTimeoutMicros(300_000)
                .build(),
            service);
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    try (Socket socket = connect(server)) {
      String responses =
          ask(
              socket,
              "GET /1 HTTP/1.1\r\n"
                  + "Host: a\r\n\r\n"
                  + "POST /2 HTTP/1.1\r\n"
                  + "Host: a\r\n"
                  + "Content-Length: 3\r\n\r\n"
                  + "abcGET /3 HTTP/1.1\r\n"
                  + "Host: a\r\n"
                  + "Connection: close\r\n\r\n");
      assertTrue(
          responses.indexOf("/10") < responses.indexOf("/23")
              && responses.indexOf("/23") < responses.indexOf("/30"),
          responses);
      assertTrue(responses.contains("connection: close"), responses);
    }
  }

  @Test
  void clientThatExpectsContinueGetsIt() throws IOException {
    try (Socket socket = connect(server)) {
      write(
          socket,
          "POST /c HTTP/1.1\r\nHost: a\r\n" + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
      byte[] interim = socket.getInputStream().readNBytes(25);
      assertEquals(
          "HTTP/1.1 100 Continue\r\n\r\n", new String(interim, StandardCharsets.ISO_8859_1));
      write(socket, "ok");
      assertTrue(
          new String(socket.getInputStream().readNBytes(15), StandardCharsets.ISO_8859_1)
              .contains("200"));
    }
  }

  @Test
  void malformedRequestGets400AndClosesTheConnection() throws IOException {
    try (Socket socket = connect(server)) {
      assertTrue(ask(socket, "NONSENSE\r\n\r\n" + "x".repeat(3000)).startsWith("HTTP/1.1 400"));
    }
  }

  @Test
  void requestThatIsIncompleteAtItsTimeoutGets408() throws IOException {
    try (Socket socket = connect(server)) {
      assertTrue(ask(socket, "GET / HT").startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  void idleConnectionsAreClosed() throws IOException {
    try (Socket socket = connect(server)) {
      assertEquals("", readAll(socket));
    }
  }

  @Test
  void clientThatStopsReadingIsDisconnected() throws Exception {
    try (Socket socket = connect(server)) {
      write(socket, "GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
      await(() -> service.disconnects.get() == 1);
    }
  }

  @Test
  void serviceIsNotifiedOfClientDisconnect() throws Exception {
    try (Socket socket = connect(server)) {
      write(socket, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
      await(() -> service.held != null);
    }
    await(() -> service.disconnects.get() == 1);
  }

  @Test
  void bufferedContentIsLimitedAndReleased() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    // 8,000 of 10,000 bytes of each of two bodies: the second exceeds the budget of 15,000 bytes
    for (int i = 0; i < 2; i++) {
      Socket socket = connect(server);
      sockets.add(socket);
      write(
          socket,
          "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n" + "x".repeat(8000));
    }
    assertTrue(
        sockets.stream()
            .anyMatch(
                socket -> {
                  try {
                    return readAll(socket).startsWith("HTTP/1.1 503");
                  } catch (IOException e) {
                    return false;
                  }
                }));
    for (Socket socket : sockets) {
      socket.close();
    }
    await(
        () -> {
          try (Socket socket = connect(server)) { // the whole budget was released
            return ask(
                    socket,
                    "POST /b HTTP/1.1\r\n"
                        + "Host: a\r\n"
                        + "Connection: close\r\n"
                        + "Content-Length: 9000\r\n\r\n"
                        + "x".repeat(9000))
                .startsWith("HTTP/1.1 200");
          } catch (IOException e) {
            return false;
          }
        });
  }

  @Test
  void largeBodiesLeavePartOfTheBudgetToSmallOnes() throws Exception {
    HttpServer largeBudgetServer =
        net.serve(
            HttpServerOptions.builder()
                .limits(new HttpLimits(1000, 2000, 20, 100_000))
                .maxConnections(50)
                .maxBufferedBodyBytes(100_000)
                .idleTimeoutMicros(5_000_000)
                .requestTimeoutMicros(5_000_000)
                .stallTimeoutMicros(5_000_000)
                .build(),
            exchange -> exchange.respond(200, new Headers(), new byte[0]));
    String large = "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
    try (Socket first = connect(largeBudgetServer);
        Socket second = connect(largeBudgetServer);
        Socket small = connect(largeBudgetServer)) {
      write(first, large + "x".repeat(60_000));
      write(second, large + "x".repeat(30_000));
      CompletableFuture<String> firstResponse =
          CompletableFuture.supplyAsync(() -> readAllOrFailure(first));
      CompletableFuture<String> secondResponse =
          CompletableFuture.supplyAsync(() -> readAllOrFailure(second));
      String rejected =
          (String) CompletableFuture.anyOf(firstResponse, secondResponse).get(10, TimeUnit.SECONDS);
      assertTrue(
          rejected.startsWith("HTTP/1.1 503"),
          "90,000 bytes exceed three quarters of the budget of 100,000: " + rejected);
      assertTrue(
          ask(
                  small,
                  "POST /s HTTP/1.1\r\n"
                      + "Host: a\r\n"
                      + "Connection: close\r\n"
                      + "Content-Length: 16000\r\n\r\n"
                      + "x".repeat(16_000))
              .startsWith("HTTP/1.1 200"));
    }
  }

  @Test
  void heavyRequestDelaysOnlyItsOwnConnection() throws Exception {
    LinkedBlockingQueue<Runnable> workerTasks = new LinkedBlockingQueue<>(1);
    HttpServer heavyBodyServer =
        net.serve(
            HttpServerOptions.builder()
                .limits(LIMITS)
                .maxConnections(50)
                .maxBufferedBodyBytes(100_000)
                .idleTimeoutMicros(5_000_000)
                .requestTimeoutMicros(5_000_000)
                .stallTimeoutMicros(5_000_000)
                .heavyBodies(
                    500,
                    task -> {
                      if (!workerTasks.offer(task)) {
                        throw new RejectedExecutionException();
                      }
                    })
                .build(),
            new HttpService() {
              @Override
              public Object prepare(HttpRequest request) {
                return "prepared " + request.body().length;
              }

              @Override
              public void serve(HttpExchange exchange) {
                exchange.respond(
                    200,
                    new Headers(),
                    (exchange.prepared() + "\n").getBytes(StandardCharsets.UTF_8));
              }
            });
    String large = "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n" + "x".repeat(600);
    String last = "GET /s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    try (Socket first = connect(heavyBodyServer);
        Socket second = connect(heavyBodyServer)) {
      write(first, large + last);
      await(() -> !workerTasks.isEmpty());
      String secondResponses = ask(second, large + last);
      assertTrue(
          secondResponses.startsWith("HTTP/1.1 503"),
          "the queue of the workers is full: " + secondResponses);
      assertTrue(
          secondResponses.contains("prepared 0"), "the connection is kept: " + secondResponses);
      for (int i = 0; i < 6; i++) { // on any shard
        try (Socket other = connect(heavyBodyServer)) {
          assertTrue(ask(other, last).contains("prepared 0"));
        }
      }
      assertEquals(
          0, first.getInputStream().available(), "no response before that of the heavy request");
      workerTasks.take().run();
      String responses = readAll(first);
      assertTrue(
          responses.indexOf("prepared 600") > 0
              && responses.indexOf("prepared 600") < responses.indexOf("prepared 0"),
          responses);
    }
  }

  private static String readAllOrFailure(Socket socket) {
    try {
      return readAll(socket);
    } catch (IOException e) {
      return e.toString();
    }
  }
}
