package lemondock.net.http;

import static lemondock.net.testing.NetworkExtension.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.sse.SseEvent;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests that surplus bytes of one response are never taken for the response to the next request.
 */
class ConnectionReuseTest {
  private static final long REUSE_DELAY_MILLIS = 300;
  private static final long HOLD_AFTER_DELAY_MILLIS = 50;
  private static final int MAX_TRIES = 20;
  private static final int ACCEPT_TIMEOUT_MILLIS = 10_000;
  private static final HttpLimits LIMITS = new HttpLimits(1000, 2000, 20, 10_000);
  private static final String SURPLUS_RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale";
  private static final String EVENT_STREAM =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: event\n\n";

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  /** Threads that cannot run while the surplus bytes arrive and the reuse delay ends. */
  private enum HeldThreads {
    IO_THREAD,
    IO_THREAD_AND_LOOP
  }

  /** A server that answers each request with its path and keeps its connections open. */
  private static final class EchoServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Socket> sockets = new LinkedBlockingQueue<>();

    EchoServer() throws IOException {
      startThread(this::acceptAll);
    }

    InetSocketAddress address() {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** The oldest connection that was not returned yet. */
    Socket nextConnection() throws InterruptedException {
      return sockets.poll(10, TimeUnit.SECONDS);
    }

    private void acceptAll() {
      try {
        while (true) {
          Socket socket = listener.accept();
          sockets.add(socket);
          startThread(() -> serve(socket));
        }
      } catch (IOException e) {
        // the test has ended
      }
    }

    private static void serve(Socket socket) {
      try {
        BufferedReader requests =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = requests.readLine(); line != null; line = requests.readLine()) {
          if (line.startsWith("GET ")) {
            String path = line.split(" ")[1];
            write(
                socket, "HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path);
          }
        }
      } catch (IOException e) {
        // the client has closed the connection
      }
    }

    private static void startThread(Runnable task) {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      thread.start();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  /** Completes a future with the body or the failure of a response. */
  private static class BodyReceiver implements ResponseReceiver {
    private final CompletableFuture<String> end = new CompletableFuture<>();
    private String body = "";

    @Override
    public void onBody(byte[] bytes) {
      body = new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public void onComplete() {
      end.complete(body);
    }

    @Override
    public void onFailure(RequestFailure failure, String reason) {
      end.complete(failure + " " + reason);
    }

    String await() throws Exception {
      return end.get(10, TimeUnit.SECONDS);
    }
  }

  /** Blocks the thread that runs it until the test resumes it. */
  private static final class Hold {
    private final Semaphore reached = new Semaphore(0);
    private final Semaphore resumed = new Semaphore(0);

    void block() {
      reached.release();
      resumed.acquireUninterruptibly();
    }

    void awaitBlocked() throws InterruptedException {
      assertTrue(reached.tryAcquire(10, TimeUnit.SECONDS), "the thread was not blocked");
    }

    void resume() {
      resumed.release();
    }
  }

  /** Blocks the I/O thread, or it and the loop, when its event stream begins. */
  private static ResponseReceiver holdingReceiver(HeldThreads heldThreads, Hold hold) {
    return new ResponseReceiver() {
      @Override
      public Object mapEvent(SseEvent event) {
        if (heldThreads == HeldThreads.IO_THREAD) {
          hold.block();
        }
        return event;
      }

      @Override
      public void onEvent(Object event) {
        if (heldThreads == HeldThreads.IO_THREAD_AND_LOOP) {
          hold.block();
        }
      }

      @Override
      public void onComplete() {}

      @Override
      public void onFailure(RequestFailure failure, String reason) {}
    };
  }

  private HttpClient client(AsyncNetwork network, long reuseDelayMillis) {
    return new HttpClient(
        net.loop(),
        network,
        new HttpClientOptions(LIMITS, 1000, 4, 1_000_000, 5_000_000)
            .withReuseDelayMicros(TimeUnit.MILLISECONDS.toMicros(reuseDelayMillis)));
  }

  private static ByteBuffer get(String path) {
    return HttpEncoder.request("GET", path, Headers.of("host", "a"), new byte[0]);
  }

  private void send(
      HttpClient client, InetSocketAddress to, String path, ResponseReceiver receiver) {
    net.loop().execute(() -> client.send(to, get(path), receiver));
  }

  /** A hold-up passed a late second response on to the next request (review/2). */
  @Test
  void surplusReceivedInTheReuseDelayIsFoundAfterTheIoThreadWasHeld() throws Exception {
    assertEquals("/second", secondResponseAfterHold(HeldThreads.IO_THREAD));
  }

  /** The same as if the whole process was stopped: the loop's tasks come before the socket. */
  @Test
  void surplusReceivedInTheReuseDelayIsFoundAfterAllThreadsWereHeld() throws Exception {
    assertEquals("/second", secondResponseAfterHold(HeldThreads.IO_THREAD_AND_LOOP));
  }

  private String secondResponseAfterHold(HeldThreads heldThreads) throws Exception {
    Optional<String> response = Optional.empty();
    for (int tries = 0; response.isEmpty() && tries < MAX_TRIES; tries++) {
      response = trySecondResponseAfterHold(heldThreads);
    }
    assertTrue(response.isPresent(), "the reuse delay ended too early in all tries");
    return response.get();
  }

  /**
   * Returns the second response; empty if the delay may have ended before the threads were held.
   */
  private Optional<String> trySecondResponseAfterHold(HeldThreads heldThreads) throws Exception {
    Hold hold = new Hold();
    try (EchoServer server = new EchoServer();
        ServerSocket holdingListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HttpClient client = client(net.network(), REUSE_DELAY_MILLIS);
      send(
          client,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), holdingListener.getLocalPort()),
          "/hold",
          holdingReceiver(heldThreads, hold));
      try (Socket holdingPeer = holdingListener.accept()) {
        final long startNanos = System.nanoTime();
        BodyReceiver first = new BodyReceiver();
        send(client, server.address(), "/first", first);
        assertEquals("/first", first.await());
        write(holdingPeer, EVENT_STREAM);
        hold.awaitBlocked();
        final long heldAfterNanos = System.nanoTime() - startNanos;
        write(server.nextConnection(), SURPLUS_RESPONSE);
        Thread.sleep(REUSE_DELAY_MILLIS + HOLD_AFTER_DELAY_MILLIS);
        BodyReceiver second = new BodyReceiver();
        send(client, server.address(), "/second", second);
        if (heldThreads == HeldThreads.IO_THREAD) {
          net.onLoop(() -> true);
        }
        hold.resume();
        String response = second.await();
        return heldAfterNanos < TimeUnit.MILLISECONDS.toNanos(REUSE_DELAY_MILLIS)
            ? Optional.of(response)
            : Optional.empty();
      }
    }
  }

  /** A connection was idle, and reused, before the rest of the batch with its surplus was seen. */
  @Test
  void requestSentWhenAResponseEndsDoesNotGetItsSurplus() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
      HttpClient client = client(net.network(), 0);
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      BodyReceiver second = new BodyReceiver();
      BodyReceiver first =
          new BodyReceiver() {
            @Override
            public void onComplete() {
              client.send(address, get("/second"), second);
              super.onComplete();
            }
          };
      send(client, address, "/first", first);
      try (Socket peer = listener.accept()) {
        peer.getInputStream().readNBytes(get("/first").remaining());
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + SURPLUS_RESPONSE);
        assertEquals("ok", first.await());
        try (Socket secondPeer = listener.accept()) {
          secondPeer.getInputStream().readNBytes(get("/second").remaining());
          write(secondPeer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfresh");
          assertEquals("fresh", second.await());
        }
      }
    }
  }

  /** A server that answers before it has the whole request may answer again once it has it. */
  @Test
  void connectionIsNotReusedIfTheResponseCameBeforeTheEndOfItsRequest() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      listener.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
      HttpClient client = client(net.network(), 0);
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
      BodyReceiver early = new BodyReceiver();
      byte[] body = new byte[64 << 20];
      net.loop()
          .execute(
              () ->
                  client.send(
                      address,
                      HttpEncoder.request("POST", "/", Headers.of("host", "a"), body),
                      early));
      try (Socket peer = listener.accept()) {
        peer.getInputStream().readNBytes(10);
        write(peer, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
        assertEquals("early", early.await());
        assertEquals(false, net.onLoop(() -> client.hasIdleConnection(address)));
      }
    }
  }
}
