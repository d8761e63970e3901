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

/** Tests the client over real sockets; plain sockets act as misbehaving servers. */
class ClientConnectionTest {
  /** Half of the time that a turn of the loop may take before it writes. */
  private static final long MAX_BLOCKED_NANOS = 1_000_000;

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

  /** Records the notifications of a receiver as one text. */
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
    public void onFailure(RequestFailure failure, String reason) {
      end.complete(text + " " + failure);
    }
  }

  private String send(HttpClient client, int port, String path) throws Exception {
    return sendAsync(client, port, path).get(10, TimeUnit.SECONDS);
  }

  private CompletableFuture<String> sendAsync(HttpClient client, int port, String path) {
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

  /**
   * Starts a server that reads some bytes of one connection, writes fixed bytes and closes it.
   *
   * @return its port
   */
  private int startFixedResponseServer(String text, int requestBytes) throws IOException {
    ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    Thread thread =
        new Thread(
            () -> {
              try (listener;
                  Socket socket = listener.accept();
                  InputStream in = socket.getInputStream();
                  OutputStream out = socket.getOutputStream()) {
                in.readNBytes(requestBytes);
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                if (requestBytes == 0) {
                  socket.setSoLinger(true, 0);
                }
              } catch (IOException e) {
                // the client closed the connection
              }
            });
    thread.setDaemon(true);
    thread.start();
    return listener.getLocalPort();
  }

  /**
   * Sends a request with a body of the given size to a peer that reads nothing and then resets the
   * connection; returns how it fails.
   */
  private String failureAfterReset(int bodyBytes) throws Exception {
    Recorder recorder = new Recorder();
    try (ServerSocket silentServer = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client =
          new HttpClient(
              net.loop(),
              net.network(),
              new HttpClientOptions(LIMITS, 1_000, 5, 1_000_000, 1_000_000));
      net.loop()
          .execute(
              () ->
                  client.send(
                      new InetSocketAddress(
                          InetAddress.getLoopbackAddress(), silentServer.getLocalPort()),
                      HttpEncoder.request(
                          "POST", "/", Headers.of("host", "h"), new byte[bodyBytes]),
                      recorder));
      try (Socket accepted = silentServer.accept()) {
        Thread.sleep(200);
        accepted.setSoLinger(true, 0);
      }
      return recorder.end.get(5, TimeUnit.SECONDS);
    }
  }

  @Test
  void onlyCompletelySentRequestsMayHaveRun() throws Exception {
    assertEquals(" NOT_SENT", failureAfterReset(64 << 20));
    assertEquals(" CONNECTION_LOST", failureAfterReset(1_000));
  }

  @Test
  void oneConnectionCarriesSuccessiveRequests() throws Exception {
    HttpClient client = client();
    assertEquals("200 /x0 done", send(client, server.address().getPort(), "/x"));
    assertEquals("200 a b done", send(client, server.address().getPort(), "/events"));
    assertEquals("200 /y0 done", send(client, server.address().getPort(), "/y"));
    assertEquals(1, net.onLoop(client::openConnections));
  }

  @Test
  void failuresTellWhetherTheRequestWasSent() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    HttpClient client = client();
    assertEquals(" NOT_SENT", send(client, closedPort, "/"));
    assertEquals(" CONNECTION_LOST", send(client, startFixedResponseServer("", 10), "/"));
    assertEquals(
        "200 CONNECTION_LOST",
        send(
            client,
            startFixedResponseServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 10),
            "/"));
    assertEquals(
        "200 CONNECTION_LOST",
        send(
            client,
            startFixedResponseServer(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", 10),
            "/"));
    assertEquals(
        " MALFORMED", send(client, startFixedResponseServer("SOMETHING ELSE\r\n\r\n", 10), "/"));
    assertEquals(
        " MALFORMED",
        send(
            client,
            startFixedResponseServer("HTTP/1.1 200 OK\r\n" + "A: b\r\n".repeat(500), 10),
            "/"));
    assertEquals(
        "200 MALFORMED",
        send(
            client,
            startFixedResponseServer(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
                    + "data: "
                    + "x".repeat(2000),
                10),
            "/"));
  }

  @Test
  void pooledConnectionClosedByPeerIsNotReused() throws Exception {
    HttpClient client = client();
    int port = startFixedResponseServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 10);
    assertEquals("200 ok done", send(client, port, "/"));
    await(() -> net.onLoop(client::openConnections) == 0);
    // a new connection is attempted, and the port is closed
    assertEquals(" NOT_SENT", send(client, port, "/"));
  }

  @Test
  void connectionWithPartOfAnotherResponseIsNotReused() throws Exception {
    HttpClient client = client();
    for (String surplus : List.of("HTTP/1.1 2", "H")) {
      try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
        CompletableFuture<String> first = sendAsync(client, listener.getLocalPort(), "/");
        try (Socket peer = listener.accept()) {
          peer.getInputStream().readNBytes(10);
          write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + surplus);
          assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
          InetSocketAddress address = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
          assertEquals(false, net.onLoop(() -> client.hasIdleConnection(address)), surplus);
        }
      }
    }
  }

  /**
   * Blocks the loop between queueing the second request and writing it, while surplus bytes of the
   * first response arrive. A turn of the loop writes after at most 2 ms, even with tasks waiting,
   * and a request that was written counts as sent. A try in which the loop was blocked for longer
   * than {@link #MAX_BLOCKED_NANOS} is therefore inconclusive and is repeated.
   */
  @Test
  void surplusBytesBeforeARequestIsWrittenAreNotItsResponse() throws Exception {
    Optional<String> end = Optional.empty();
    for (int tries = 0; end.isEmpty() && tries < MAX_TRIES; tries++) {
      end = endOfRequestQueuedBeforeSurplus();
    }
    assertTrue(end.isPresent(), "the loop was blocked for too long in all " + MAX_TRIES + " tries");
    assertTrue(end.get().matches("NOT_SENT .*before the request was written"), end.get());
  }

  /** Returns how the second request ended; empty if the loop was blocked for too long. */
  private Optional<String> endOfRequestQueuedBeforeSurplus() throws Exception {
    Semaphore surplusDecoded = new Semaphore(0);
    Semaphore surplusPassedToLoop = new Semaphore(0);
    CompletableFuture<Void> queued = new CompletableFuture<>();
    CompletableFuture<Long> blockedNanos = new CompletableFuture<>();
    CompletableFuture<String> end = new CompletableFuture<>();
    try (AsyncNetwork oneThread = new AsyncNetwork(net.loop(), 1, 1);
        ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      HttpClient client = client(oneThread);
      CompletableFuture<String> first = sendAsync(client, listener.getLocalPort(), "/");
      CompletableFuture<String> otherEnd = new CompletableFuture<>();
      net.loop()
          .execute(
              () ->
                  client.send(
                      address(other),
                      HttpEncoder.request("GET", "/o", Headers.of("host", "a"), new byte[0]),
                      onEventDecoded(surplusPassedToLoop::release, otherEnd)));
      try (Socket peer = listener.accept();
          Socket otherPeer = other.accept()) {
        otherPeer.getInputStream().readNBytes(10);
        peer.getInputStream().readNBytes(10);
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        assertEquals("200 ok done", first.get(10, TimeUnit.SECONDS));
        net.executeOnLoopThread(
            () -> {
              final long startNanos = System.nanoTime();
              client.send(
                  address(listener),
                  HttpEncoder.request("GET", "/2", Headers.of("host", "a"), new byte[0]),
                  onEventDecoded(surplusDecoded::release, end));
              queued.complete(null);
              surplusPassedToLoop.acquireUninterruptibly();
              blockedNanos.complete(System.nanoTime() - startNanos);
            });
        queued.get(10, TimeUnit.SECONDS);
        write(peer, STALE_EVENT_STREAM);
        assertTrue(surplusDecoded.tryAcquire(10, TimeUnit.SECONDS), "no surplus was decoded");
        // The I/O thread decodes this event after it has passed the surplus to the loop.
        write(otherPeer, STALE_EVENT_STREAM);
        String ended = end.get(10, TimeUnit.SECONDS);
        return blockedNanos.get(10, TimeUnit.SECONDS) < MAX_BLOCKED_NANOS
            ? Optional.of(ended)
            : Optional.empty();
      }
    }
  }

  private static InetSocketAddress address(ServerSocket listener) {
    return new InetSocketAddress("127.0.0.1", listener.getLocalPort());
  }

  /**
   * Creates a receiver that runs a task on the I/O thread when an event is decoded, and completes
   * the future with the outcome of the call.
   */
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
      public void onFailure(RequestFailure failure, String reason) {
        end.complete(failure + " " + reason);
      }
    };
  }

  @Test
  void connectionsPerAddressAreLimited() throws Exception {
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
