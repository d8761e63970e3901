package lemondock.net.http;

import static lemondock.net.testing.NetworkExtension.await;
import static lemondock.net.testing.NetworkExtension.write;
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
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.sse.SseEvent;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** A client over real sockets, with plain sockets as unruly servers. */
class ClientConnectionTest {
  /** Half of what a turn of the loop may take before it writes. */
  private static final long MAX_HOLD_NANOS = 1_000_000;

  private static final int MAX_TRIES = 200;

  private static final String STALE_EVENT_STREAM =
      "HTTP/1.1 200 OK\r\n"
          + "Content-Type: text/event-stream\r\n"
          + "Content-Length: 13\r\n\r\n"
          + "data: stale\n\n";

  private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 20, 10_000);

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(2, 8);

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
            new PathService());
  }

  private HttpClient client() {
    return client(net.network());
  }

  private HttpClient client(AsyncNetwork network) {
    return new HttpClient(
        net.loop(), network, new HttpClientOptions(LIMITS, 1000, 2, 300_000, 5_000_000));
  }

  /** Records what a receiver hears, as one text. */
  private static final class Recorder implements ResponseReceiver {
    private final StringBuilder text = new StringBuilder();
    private final CompletableFuture<String> end = new CompletableFuture<>();

    @Override
    public void onHead(HttpEvent.ResponseHead head) {
      text.append(head.status());
    }

    @Override
    public void onEvent(Object mapped) {
      text.append(' ').append(((SseEvent) mapped).data());
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
    return sendLater(client, port, path).get(10, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> sendLater(HttpClient client, int port, String path) {
    Recorder recorder = new Recorder();
    net.loop()
        .execute(
            () ->
                client.send(
                    new InetSocketAddress("127.0.0.1", port),
                    HttpEncoder.request("GET", path, Headers.of("host", "a"), new byte[0]),
                    recorder));
    return recorder.end;
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

  /**
   * Gives how a request of that size fails at a peer that reads nothing and then resets the
   * connection.
   */
  private String failureAtReset(int size) throws Exception {
    Recorder recorder = new Recorder();
    try (ServerSocket deaf = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client =
          new HttpClient(
              net.loop(),
              net.network(),
              new HttpClientOptions(LIMITS, 1_000, 5, 1_000_000, 1_000_000));
      net.loop()
          .execute(
              () ->
                  client.send(
                      new InetSocketAddress(InetAddress.getLoopbackAddress(), deaf.getLocalPort()),
                      HttpEncoder.request("POST", "/", Headers.of("host", "h"), new byte[size]),
                      recorder));
      try (Socket taken = deaf.accept()) {
        Thread.sleep(200);
        taken.setSoLinger(true, 0);
      }
      return recorder.end.get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  void onlyARequestThatWasSentCompletelyMayHaveRun() throws Exception {
    assertEquals(" NOT_SENT", failureAtReset(64 << 20));
    assertEquals(" CONNECTION_LOST", failureAtReset(1_000));
  }

  @Test
  void oneConnectionServesRequestAfterRequest() throws Exception {
    HttpClient client = client();
    assertEquals("200 /x0 done", send(client, server.address().getPort(), "/x"));
    assertEquals("200 a b done", send(client, server.address().getPort(), "/events"));
    assertEquals("200 /y0 done", send(client, server.address().getPort(), "/y"));
    assertEquals(1, net.onLoop(client::openConnections));
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
    await(() -> net.onLoop(client::openConnections) == 0);
    // a new connection is tried, and nobody listens any more
    assertEquals(" NOT_SENT", send(client, port, "/"));
  }

  @Test
  void aConnectionWithPartOfAFurtherResponseIsNotUsedAgain() throws Exception {
    HttpClient client = client();
    for (String surplus : List.of("HTTP/1.1 2", "H")) {
      try (ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
        CompletableFuture<String> first = sendLater(client, listening.getLocalPort(), "/");
        try (Socket peer = listening.accept()) {
          peer.getInputStream().readNBytes(10);
          write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus);
          assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
          InetSocketAddress address = new InetSocketAddress("127.0.0.1", listening.getLocalPort());
          assertEquals(false, net.onLoop(() -> client.hasIdleConnection(address)), surplus);
        }
      }
    }
  }

  /**
   * The loop is held between queueing the second request and writing it, while the surplus of the
   * first response comes. A turn of the loop writes after 2 ms at the latest, whatever waits, and a
   * request that was written counts as sent; so a try in which the hold took longer than {@link
   * #MAX_HOLD_NANOS} shows nothing and is repeated.
   */
  @Test
  void surplusThatComesBeforeTheNextRequestIsWrittenIsNotItsResponse() throws Exception {
    Optional<String> end = Optional.empty();
    for (int tries = 0; end.isEmpty() && tries < MAX_TRIES; tries++) {
      end = endOfRequestQueuedBeforeSurplus();
    }
    assertTrue(end.isPresent(), "the loop was never held for so short a time");
    assertTrue(end.get().matches("NOT_SENT .*before the request was written"), end.get());
  }

  /** How the second request ended; empty if the loop was held for too long. */
  private Optional<String> endOfRequestQueuedBeforeSurplus() throws Exception {
    Semaphore surplusDecoded = new Semaphore(0);
    Semaphore surplusHandedOver = new Semaphore(0);
    CompletableFuture<Void> queued = new CompletableFuture<>();
    CompletableFuture<Long> heldNanos = new CompletableFuture<>();
    CompletableFuture<String> end = new CompletableFuture<>();
    try (AsyncNetwork oneThread = new AsyncNetwork(net.loop(), 1, 1);
        ServerSocket listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HttpClient client = client(oneThread);
      CompletableFuture<String> first = sendLater(client, listening.getLocalPort(), "/");
      CompletableFuture<String> otherEnd = new CompletableFuture<>();
      net.loop()
          .execute(
              () ->
                  client.send(
                      address(other),
                      HttpEncoder.request("GET", "/o", Headers.of("host", "a"), new byte[0]),
                      onEventDecoded(surplusHandedOver::release, otherEnd)));
      try (Socket peer = listening.accept();
          Socket otherPeer = other.accept()) {
        otherPeer.getInputStream().readNBytes(10);
        peer.getInputStream().readNBytes(10);
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
        net.executeOnLoopThread(
            () -> {
              final long startNanos = System.nanoTime();
              client.send(
                  address(listening),
                  HttpEncoder.request("GET", "/2", Headers.of("host", "a"), new byte[0]),
                  onEventDecoded(surplusDecoded::release, end));
              queued.complete(null);
              surplusHandedOver.acquireUninterruptibly();
              heldNanos.complete(System.nanoTime() - startNanos);
            });
        queued.get(10, TimeUnit.SECONDS);
        write(peer, STALE_EVENT_STREAM);
        assertTrue(surplusDecoded.tryAcquire(10, TimeUnit.SECONDS), "no surplus was decoded");
        // The thread that handed the surplus over comes to this event next.
        write(otherPeer, STALE_EVENT_STREAM);
        String ended = end.get(10, TimeUnit.SECONDS);
        return heldNanos.get(10, TimeUnit.SECONDS) < MAX_HOLD_NANOS
            ? Optional.of(ended)
            : Optional.empty();
      }
    }
  }

  private static InetSocketAddress address(ServerSocket listening) {
    return new InetSocketAddress("127.0.0.1", listening.getLocalPort());
  }

  /** Runs a task on the I/O thread that decodes an event, and completes with how the call ends. */
  private static ResponseReceiver onEventDecoded(Runnable task, CompletableFuture<String> end) {
    return new ResponseReceiver() {
      @Override
      public Object mapEvent(SseEvent event) {
        task.run();
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
    };
  }

  @Test
  void connectionsToOneAddressAreBounded() throws Exception {
    HttpClient client = client();
    Recorder first = new Recorder();
    Recorder second = new Recorder();
    net.loop()
        .execute(
            () -> {
              InetSocketAddress to = new InetSocketAddress("127.0.0.1", server.address().getPort());
              client.send(
                  to,
                  HttpEncoder.request("GET", "/hold", Headers.of("host", "a"), new byte[0]),
                  first);
              client.send(
                  to,
                  HttpEncoder.request("GET", "/hold", Headers.of("host", "a"), new byte[0]),
                  second);
            });
    assertEquals(" LOCAL_LIMIT_REACHED", send(client, server.address().getPort(), "/third"));
    assertEquals(2, net.onLoop(client::openConnections));
  }
}
