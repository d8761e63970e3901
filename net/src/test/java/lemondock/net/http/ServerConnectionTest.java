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

/** A server over real sockets, with plain sockets as unruly clients. */
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
      String all =
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
          all.indexOf("/10") < all.indexOf("/23") && all.indexOf("/23") < all.indexOf("/30"), all);
      assertTrue(all.contains("connection: close"), all);
    }
  }

  @Test
  void aClientThatWaitsToContinueIsToldTo() throws IOException {
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
  void aMalformedRequestIsRefusedAndItsConnectionClosed() throws IOException {
    try (Socket socket = connect(server)) {
      assertTrue(ask(socket, "NONSENSE\r\n\r\n" + "x".repeat(3000)).startsWith("HTTP/1.1 400"));
    }
  }

  @Test
  void aRequestThatIsNotCompleteInTimeIsRefused() throws IOException {
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
  void aClientThatStopsReadingIsDisconnected() throws Exception {
    try (Socket socket = connect(server)) {
      write(socket, "GET /flood HTTP/1.1\r\nHost: a\r\n\r\n");
      await(() -> service.disconnects.get() == 1);
    }
  }

  @Test
  void theServiceHearsThatItsClientDisconnected() throws Exception {
    try (Socket socket = connect(server)) {
      write(socket, "GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
      await(() -> service.held != null);
    }
    await(() -> service.disconnects.get() == 1);
  }

  @Test
  void connectionsAndContentAreBounded() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    // two bodies of 8,000 of 10,000 bytes: the second exceeds the 15,000 of all
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
                s -> {
                  try {
                    return readAll(s).startsWith("HTTP/1.1 503");
                  } catch (IOException e) {
                    return false;
                  }
                }));
    for (Socket socket : sockets) {
      socket.close();
    }
    await(
        () -> {
          try (Socket socket = connect(server)) { // all that was taken is given back
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
  void largeBodiesLeaveAPartOfTheirBudgetToSmallOnes() throws Exception {
    HttpServer roomy =
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
    try (Socket first = connect(roomy);
        Socket second = connect(roomy);
        Socket small = connect(roomy)) {
      write(first, large + "x".repeat(60_000));
      write(second, large + "x".repeat(30_000));
      CompletableFuture<String> one = CompletableFuture.supplyAsync(() -> readAllOrFailure(first));
      CompletableFuture<String> two = CompletableFuture.supplyAsync(() -> readAllOrFailure(second));
      String refused = (String) CompletableFuture.anyOf(one, two).get(10, TimeUnit.SECONDS);
      assertTrue(
          refused.startsWith("HTTP/1.1 503"),
          "90,000 of 100,000 are more than three quarters: " + refused);
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
  void aHeavyRequestIsPreparedByAWorkerAndOnlyItsOwnConnectionWaits() throws Exception {
    LinkedBlockingQueue<Runnable> work = new LinkedBlockingQueue<>(1);
    HttpServer heavy =
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
                      if (!work.offer(task)) {
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
    try (Socket first = connect(heavy);
        Socket second = connect(heavy)) {
      write(first, large + last);
      await(() -> !work.isEmpty());
      String both = ask(second, large + last);
      assertTrue(both.startsWith("HTTP/1.1 503"), "there is no place left: " + both);
      assertTrue(both.contains("prepared 0"), "its connection goes on: " + both);
      for (int i = 0; i < 6; i++) { // whichever shard they come to
        try (Socket other = connect(heavy)) {
          assertTrue(ask(other, last).contains("prepared 0"));
        }
      }
      assertEquals(0, first.getInputStream().available(), "answered in order, so not yet");
      work.take().run();
      String all = readAll(first);
      assertTrue(
          all.indexOf("prepared 600") > 0
              && all.indexOf("prepared 600") < all.indexOf("prepared 0"),
          all);
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
