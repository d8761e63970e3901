package lemondock.net.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lemondock.net.DelayProbe;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Server and client over real sockets, with plain sockets as the unruly other side. */
class ServerClientTest {
  private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 20, 10_000);
  private final LinkedBlockingQueue<String> failures = new LinkedBlockingQueue<>();
  private ThreadLoop loop;
  private AsyncNetwork network;
  private HttpServer server;
  private final AtomicInteger gone = new AtomicInteger();
  private volatile HttpExchange held;

  @BeforeEach
  void start() throws IOException {
    loop = new ThreadLoop("test", e -> failures.add(e.toString()));
    network = new AsyncNetwork(loop, 2);
    server =
        new HttpServer(
            loop,
            new HttpServerOptions(LIMITS, 5, 15_000, 300_000, 200_000, 300_000),
            exchange -> {
              exchange.onDisconnect(gone::incrementAndGet);
              switch (exchange.request().path()) {
                case "/hold" -> held = exchange;
                case "/flood" -> {
                  exchange.begin(200, Headers.of("content-type", "text/plain"));
                  for (int i = 0; i < 400; i++) {
                    exchange.send(new byte[50_000]);
                  }
                }
                case "/events" -> {
                  exchange.begin(200, Headers.of("content-type", "text/event-stream"));
                  exchange.send("data: a\n\ndata: b\n\n".getBytes(StandardCharsets.UTF_8));
                  exchange.finish();
                }
                default ->
                    exchange.respond(
                        200,
                        new Headers(),
                        (exchange.request().path() + exchange.request().body().length)
                            .getBytes(StandardCharsets.UTF_8));
              }
            });
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
  }

  @AfterEach
  void stop() throws IOException {
    assertTrue(failures.isEmpty(), failures.toString());
    loop.execute(network::abortAll);
    network.close();
    loop.close();
  }

  private Socket socket() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  private static String ask(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    return readAll(socket);
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    try (Socket socket = socket()) {
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
    try (Socket socket = socket()) {
      socket
          .getOutputStream()
          .write(
              ("POST /c HTTP/1.1\r\nHost: a\r\n"
                      + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
                  .getBytes(StandardCharsets.ISO_8859_1));
      byte[] interim = socket.getInputStream().readNBytes(25);
      assertEquals(
          "HTTP/1.1 100 Continue\r\n\r\n", new String(interim, StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write("ok".getBytes(StandardCharsets.ISO_8859_1));
      assertTrue(
          new String(socket.getInputStream().readNBytes(15), StandardCharsets.ISO_8859_1)
              .contains("200"));
    }
  }

  @Test
  void malformedRequestsAreAnsweredAndClosed() throws IOException {
    try (Socket socket = socket()) {
      assertTrue(ask(socket, "NONSENSE\r\n\r\n" + "x".repeat(3000)).startsWith("HTTP/1.1 400"));
    }
  }

  @Test
  void slowRequestsAreEnded() throws IOException {
    try (Socket socket = socket()) {
      assertTrue(ask(socket, "GET / HT").startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  void idleConnectionsAreClosed() throws IOException {
    try (Socket socket = socket()) {
      assertEquals("", readAll(socket));
    }
  }

  @Test
  void aReaderThatStallsIsBrokenOff() throws Exception {
    try (Socket socket = socket()) {
      socket
          .getOutputStream()
          .write("GET /flood HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      await(() -> gone.get() == 1);
    }
  }

  @Test
  void aClientThatGoesIsNoticed() throws Exception {
    try (Socket socket = socket()) {
      socket
          .getOutputStream()
          .write("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
      await(() -> held != null);
    }
    await(() -> gone.get() == 1);
  }

  /**
   * Gives how a request of that size fails at a peer that reads nothing and then resets the
   * connection.
   */
  private String failureAtReset(int size) throws Exception {
    LinkedBlockingQueue<String> ends = new LinkedBlockingQueue<>();
    try (java.net.ServerSocket deaf =
        new java.net.ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client =
          new HttpClient(
              loop, network, new HttpClientOptions(LIMITS, 1_000, 5, 1_000_000, 1_000_000));
      loop.execute(
          () ->
              client.send(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), deaf.getLocalPort()),
                  HttpEncoder.request("POST", "/", Headers.of("host", "h"), new byte[size]),
                  new ResponseReceiver() {
                    @Override
                    public void onComplete() {
                      ends.add("done");
                    }

                    @Override
                    public void onFailure(RequestFailure failure, String what) {
                      ends.add(failure.toString());
                    }
                  }));
      try (Socket taken = deaf.accept()) {
        Thread.sleep(200);
        taken.setSoLinger(true, 0);
      }
      return ends.poll(5, java.util.concurrent.TimeUnit.SECONDS);
    }
  }

  @Test
  void onlyARequestThatLeftWholeMayHaveRun() throws Exception {
    assertEquals("NOT_SENT", failureAtReset(64 << 20));
    assertEquals("CONNECTION_LOST", failureAtReset(1_000));
  }

  @Test
  void connectionsAndContentAreBounded() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0;
        i < 2;
        i++) { // two bodies of 8,000 of 10,000 bytes: the second exceeds the 15,000 of all
      Socket socket = socket();
      sockets.add(socket);
      socket
          .getOutputStream()
          .write(
              ("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10000\r\n\r\n" + "x".repeat(8000))
                  .getBytes(StandardCharsets.ISO_8859_1));
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
          try (Socket socket = socket()) { // all that was taken is given back
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

  private static void await(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, "in vain");
      Thread.sleep(2);
    }
  }

  // ==== the client

  private HttpClient client() {
    return new HttpClient(
        loop, network, new HttpClientOptions(LIMITS, 1000, 2, 300_000, 5_000_000));
  }

  /** Writes down what a receiver hears, as one text. */
  private static final class Heard implements ResponseReceiver {
    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<String> end = new CompletableFuture<>();

    @Override
    public void onHead(HttpEvent.ResponseHead head) {
      text.append(head.status());
    }

    @Override
    public void onEvent(Object mapped) {
      text.append(' ').append(((lemondock.net.sse.SseEvent) mapped).data());
    }

    @Override
    public void onBody(byte[] bytes) {
      text.append(' ').append(new String(bytes, StandardCharsets.UTF_8));
    }

    @Override
    public void onComplete() {
      end.complete(text + " done");
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      end.complete(text + " " + failure);
    }
  }

  private String send(HttpClient client, int port, String path) throws Exception {
    Heard heard = new Heard();
    loop.execute(
        () ->
            client.send(
                new InetSocketAddress("127.0.0.1", port),
                HttpEncoder.request("GET", path, Headers.of("host", "a"), new byte[0]),
                heard));
    return heard.end.get(10, TimeUnit.SECONDS);
  }

  @Test
  void oneConnectionServesRequestAfterRequest() throws Exception {
    HttpClient client = client();
    assertEquals("200 /x0 done", send(client, server.address().getPort(), "/x"));
    assertEquals("200 a b done", send(client, server.address().getPort(), "/events"));
    assertEquals("200 /y0 done", send(client, server.address().getPort(), "/y"));
    CompletableFuture<Integer> open = new CompletableFuture<>();
    loop.execute(() -> open.complete(client.openConnections()));
    assertEquals(1, open.get(10, TimeUnit.SECONDS));
  }

  /** A server that answers each connection with fixed bytes and closes it. */
  private int answering(String text, int readFirst) throws IOException {
    ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try (listening;
                  Socket socket = listening.accept();
                  InputStream in = socket.getInputStream();
                  OutputStream out = socket.getOutputStream()) {
                in.readNBytes(readFirst);
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (readFirst == 0) {
                  socket.setSoLinger(true, 0);
                }
              } catch (IOException e) {
                // the client broke off
              }
            });
    thread.setDaemon(true);
    thread.start();
    return listening.getLocalPort();
  }

  @Test
  void failuresSayWhetherAnythingWasSent() throws Exception {
    int closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = socket.getLocalPort();
    }
    HttpClient client = client();
    assertEquals(" NOT_SENT", send(client, closed, "/"));
    assertEquals(" CONNECTION_LOST", send(client, answering("", 10), "/"));
    assertEquals(
        "200 CONNECTION_LOST",
        send(client, answering("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 10), "/"));
    assertEquals(
        "200 CONNECTION_LOST",
        send(
            client,
            answering("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 10),
            "/"));
    assertEquals(" MALFORMED", send(client, answering("SOMETHING ELSE\r\n\r\n", 10), "/"));
    assertEquals(
        " MALFORMED",
        send(client, answering("HTTP/1.1 200 OK\r\n" + "A: b\r\n".repeat(500), 10), "/"));
    assertEquals(
        "200 MALFORMED",
        send(
            client,
            answering(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                    + "data: "
                    + "x".repeat(2000),
                10),
            "/"));
  }

  @Test
  void aPooledConnectionThatItsPeerClosesIsNotUsedAgain() throws Exception {
    HttpClient client = client();
    int port = answering("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 10);
    assertEquals("200 ok done", send(client, port, "/"));
    await(
        () -> {
          CompletableFuture<Integer> open = new CompletableFuture<>();
          loop.execute(() -> open.complete(client.openConnections()));
          return open.join() == 0;
        });
    assertEquals(
        " NOT_SENT",
        send(client, port, "/")); // a new connection is tried, and nobody listens any more
  }

  @Test
  void aConnectionWithPartOfAFurtherAnswerIsNotUsedAgain() throws Exception {
    HttpClient client = client();
    for (String surplus : List.of("HTTP/1.1 2", "H")) {
      try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
        CompletableFuture<String> first = new CompletableFuture<>();
        Thread asks =
            new Thread(
                () -> {
                  try {
                    first.complete(send(client, listening.getLocalPort(), "/"));
                  } catch (Exception e) {
                    first.completeExceptionally(e);
                  }
                });
        asks.start();
        try (Socket peer = listening.accept()) {
          peer.getInputStream().readNBytes(10);
          peer.getOutputStream()
              .write(
                  ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus)
                      .getBytes(StandardCharsets.US_ASCII));
          assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
          CompletableFuture<Boolean> idle = new CompletableFuture<>();
          loop.execute(
              () ->
                  idle.complete(
                      client.hasIdleConnection(
                          new InetSocketAddress("127.0.0.1", listening.getLocalPort()))));
          assertEquals(false, idle.get(10, TimeUnit.SECONDS), surplus);
        }
      }
    }
  }

  /**
   * The loop is held between queueing the second request and writing it, while the surplus of the
   * first answer comes.
   */
  @Test
  void surplusThatComesBeforeTheNextRequestIsWrittenIsNotItsAnswer() throws Exception {
    java.util.concurrent.Semaphore decoded = new java.util.concurrent.Semaphore(0);
    CompletableFuture<Void> queued = new CompletableFuture<>();
    CompletableFuture<String> end = new CompletableFuture<>();
    try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HttpClient client = client();
      CompletableFuture<String> first =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  return send(client, listening.getLocalPort(), "/");
                } catch (Exception e) {
                  return e.toString();
                }
              });
      try (Socket peer = listening.accept()) {
        peer.getInputStream().readNBytes(10);
        peer.getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                    .getBytes(StandardCharsets.US_ASCII));
        assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
        loop.execute(
            () -> {
              client.send(
                  new InetSocketAddress("127.0.0.1", listening.getLocalPort()),
                  HttpEncoder.request("GET", "/2", Headers.of("host", "a"), new byte[0]),
                  new ResponseReceiver() {
                    @Override
                    public Object mapEvent(lemondock.net.sse.SseEvent event) {
                      decoded.release();
                      return event;
                    }

                    @Override
                    public void onComplete() {
                      end.complete("done");
                    }

                    @Override
                    public void onFailure(RequestFailure failure, String what) {
                      end.complete(failure + " " + what);
                    }
                  });
              queued.complete(null);
              decoded.acquireUninterruptibly();
            });
        queued.get(10, TimeUnit.SECONDS);
        peer.getOutputStream()
            .write(
                ("HTTP/1.1 200 OK\r\n"
                        + "Content-Type: text/event-stream\r\n"
                        + "Content-Length: 13\r\n\r\n"
                        + "data: stale\n\n")
                    .getBytes(StandardCharsets.US_ASCII));
        assertTrue(
            end.get(10, TimeUnit.SECONDS).matches("NOT_SENT .*before the request was written"),
            end.get());
      }
    }
  }

  @Test
  void connectionsToOneAddressAreBounded() throws Exception {
    HttpClient client = client();
    Heard first = new Heard();
    Heard second = new Heard();
    loop.execute(
        () -> {
          InetSocketAddress to = new InetSocketAddress("127.0.0.1", server.address().getPort());
          client.send(
              to, HttpEncoder.request("GET", "/hold", Headers.of("host", "a"), new byte[0]), first);
          client.send(
              to,
              HttpEncoder.request("GET", "/hold", Headers.of("host", "a"), new byte[0]),
              second);
        });
    assertEquals(" LOCAL_LIMIT_REACHED", send(client, server.address().getPort(), "/third"));
  }

  @Test
  void largeBodiesLeaveAPartOfTheirBudgetToSmallOnes() throws Exception {
    HttpServer roomy =
        new HttpServer(
            loop,
            new HttpServerOptions(
                new HttpLimits(1000, 2000, 20, 100_000),
                50,
                100_000,
                5_000_000,
                5_000_000,
                5_000_000),
            exchange -> exchange.respond(200, new Headers(), new byte[0]));
    roomy.start(network, new InetSocketAddress("127.0.0.1", 0));
    String large = "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n";
    try (Socket first = new Socket("127.0.0.1", roomy.address().getPort());
        Socket second = new Socket("127.0.0.1", roomy.address().getPort());
        Socket small = new Socket("127.0.0.1", roomy.address().getPort())) {
      first
          .getOutputStream()
          .write((large + "x".repeat(60_000)).getBytes(StandardCharsets.US_ASCII));
      second
          .getOutputStream()
          .write((large + "x".repeat(30_000)).getBytes(StandardCharsets.US_ASCII));
      first.setSoTimeout(10_000);
      second.setSoTimeout(10_000);
      CompletableFuture<String> one = CompletableFuture.supplyAsync(() -> quietRead(first));
      CompletableFuture<String> two = CompletableFuture.supplyAsync(() -> quietRead(second));
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

  private static String quietRead(Socket socket) {
    try {
      return readAll(socket);
    } catch (IOException e) {
      return e.toString();
    }
  }

  @Test
  void aShardSaysHowLongWhatIsNewWaitsForItsThread() throws Exception {
    CompletableFuture<Void> hold = new CompletableFuture<>();
    lemondock.net.Network.Listener port =
        network.listen(
            new InetSocketAddress("127.0.0.1", 0),
            100,
            () ->
                new Echo() {
                  @Override
                  public void decode(java.nio.ByteBuffer bytes, List<Object> events) {
                    hold.join(); // its thread does nothing else meanwhile
                    super.decode(bytes, events);
                  }
                });
    List<DelayProbe> probes = network.delayProbes();
    assertEquals(2, probes.size());
    for (DelayProbe probe : probes) {
      assertTrue(waited(probe) < 5_000_000);
    }
    try (Socket socket = new Socket("127.0.0.1", port.address().getPort())) {
      socket.getOutputStream().write('x');
      await(() -> probes.stream().anyMatch(p -> asked(p) >= 50_000)); // told while it still waits
      hold.complete(null);
      assertEquals('x', socket.getInputStream().read());
      await(() -> probes.stream().allMatch(p -> asked(p) == 0));
    }
  }

  private long asked(DelayProbe probe) {
    CompletableFuture<Long> told = new CompletableFuture<>();
    loop.execute(() -> told.complete(probe.measure(w -> {})));
    return told.join();
  }

  private long waited(DelayProbe probe) throws Exception {
    CompletableFuture<Long> told = new CompletableFuture<>();
    loop.execute(() -> probe.measure(told::complete));
    return told.get(10, TimeUnit.SECONDS);
  }

  @Test
  void aHeavyRequestIsPreparedElsewhereAndOnlyItsOwnConnectionWaits() throws Exception {
    LinkedBlockingQueue<Runnable> work = new LinkedBlockingQueue<>(1);
    HttpServer heavy =
        new HttpServer(
            loop,
            new HttpServerOptions(
                LIMITS,
                50,
                100_000,
                5_000_000,
                5_000_000,
                5_000_000,
                500,
                task -> {
                  if (!work.offer(task)) {
                    throw new java.util.concurrent.RejectedExecutionException();
                  }
                }),
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
    heavy.start(network, new InetSocketAddress("127.0.0.1", 0));
    String large = "POST /l HTTP/1.1\r\nHost: a\r\nContent-Length: 600\r\n\r\n" + "x".repeat(600);
    String last = "GET /s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    try (Socket first = new Socket("127.0.0.1", heavy.address().getPort());
        Socket second = new Socket("127.0.0.1", heavy.address().getPort())) {
      first.getOutputStream().write((large + last).getBytes(StandardCharsets.US_ASCII));
      await(() -> !work.isEmpty());
      String both = ask(second, large + last);
      assertTrue(both.startsWith("HTTP/1.1 503"), "there is no place left: " + both);
      assertTrue(both.contains("prepared 0"), "its connection goes on: " + both);
      for (int i = 0; i < 6; i++) { // whichever shard they come to
        try (Socket other = new Socket("127.0.0.1", heavy.address().getPort())) {
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

  @Test
  void aThreadWhoseDecoderThrowsAnErrorServesItsOtherConnections() throws Exception {
    lemondock.net.Network.Listener port =
        network.listen(new InetSocketAddress("127.0.0.1", 0), 100, () -> new Echo());
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      sockets.add(new Socket("127.0.0.1", port.address().getPort()));
      sockets.get(i).setSoTimeout(10_000);
    }
    for (int i = 0; i < 20; i += 2) {
      sockets.get(i).getOutputStream().write('!');
      assertEquals(-1, sockets.get(i).getInputStream().read(), "its connection breaks");
      assertTrue(failures.poll(10, TimeUnit.SECONDS).contains("no more stack"));
    }
    for (int i = 1; i < 20; i += 2) {
      sockets.get(i).getOutputStream().write('x');
      assertEquals('x', sockets.get(i).getInputStream().read());
      sockets.get(i).close();
    }
  }

  /** Gives back what comes, and fails at an exclamation mark. */
  private static class Echo implements lemondock.net.Connection.Handler {
    private lemondock.net.Connection connection;

    @Override
    public void connected(lemondock.net.Connection made) {
      connection = made;
      made.read();
    }

    @Override
    public void decode(java.nio.ByteBuffer bytes, List<Object> events) {
      byte first = bytes.get();
      if (first == '!') {
        throw new StackOverflowError("no more stack");
      }
      events.add(first);
    }

    @Override
    public void received(List<Object> events) {
      connection.write(java.nio.ByteBuffer.wrap(new byte[] {(byte) events.get(0)}));
      connection.read();
    }

    @Override
    public void inputEnded() {}

    @Override
    public void writeQueueDrained() {}

    @Override
    public void closed(IOException cause) {}
  }
}
