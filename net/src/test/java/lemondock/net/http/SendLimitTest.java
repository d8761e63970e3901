package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests that the last byte of a request is not sent after its latest time, whatever delays it: a
 * server must not receive the complete request then.
 */
class SendLimitTest {
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final long LIMIT_MILLIS = 200;
  private static final int SMALL_BODY_BYTES = 100;
  private static final int MEDIUM_BODY_BYTES = 100_000;

  /** More than the buffers of two sockets hold. */
  private static final int LARGE_BODY_BYTES = 64 << 20;

  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  private ServerSocket listener;
  private HttpClient client;

  @BeforeEach
  void listen() throws IOException {
    listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    listener.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    client =
        new HttpClient(
            net.loop(),
            net.network(),
            new HttpClientOptions(HttpLimits.DEFAULT, 1000, 4, 1_000_000, 5_000_000));
  }

  @AfterEach
  void close() throws IOException {
    listener.close();
  }

  private static ByteBuffer post(int bodyBytes) {
    return HttpEncoder.request("POST", "/", Headers.of("host", "a"), new byte[bodyBytes]);
  }

  private long inMillis(long millis) {
    return net.loop().now() + TimeUnit.MILLISECONDS.toMicros(millis);
  }

  private Socket accept() throws IOException {
    Socket peer = listener.accept();
    peer.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return peer;
  }

  /** Sends a request on the loop; the future completes with "ok" or the failure. */
  private CompletableFuture<String> send(int bodyBytes, long latestSendMicros) {
    CompletableFuture<String> end = new CompletableFuture<>();
    net.loop().execute(() -> startSend(bodyBytes, latestSendMicros, end));
    return end;
  }

  private void startSend(int bodyBytes, long latestSendMicros, CompletableFuture<String> end) {
    client.send(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()),
        () -> Optional.of(new OutgoingRequest(post(bodyBytes), latestSendMicros)),
        new ResponseReceiver() {
          @Override
          public void onComplete() {
            end.complete("ok");
          }

          @Override
          public void onFailure(RequestFailure failure, String reason) {
            end.complete(failure.toString());
          }
        });
  }

  private static String await(CompletableFuture<String> end) throws Exception {
    return end.get(SOCKET_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Number of bytes that the peer receives until the connection ends. */
  private static long countBytes(Socket peer) throws IOException {
    long count = 0;
    byte[] buffer = new byte[1 << 16];
    InputStream in = peer.getInputStream();
    try {
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        count += read;
      }
    } catch (SocketException e) {
      // reset: the rest was discarded
    }
    return count;
  }

  @Test
  void requestSentInTimeIsComplete() throws Exception {
    CompletableFuture<String> first = send(0, inMillis(SOCKET_TIMEOUT_MILLIS));
    try (Socket peer = accept()) {
      respondTo(peer, 0);
      assertEquals("ok", await(first));
      for (int bodyBytes : new int[] {SMALL_BODY_BYTES, MEDIUM_BODY_BYTES}) {
        CompletableFuture<String> next = send(bodyBytes, inMillis(SOCKET_TIMEOUT_MILLIS));
        respondTo(peer, bodyBytes);
        assertEquals("ok", await(next));
      }
    }
  }

  /** Receives a whole request and responds to it. */
  private static void respondTo(Socket peer, int bodyBytes) throws IOException {
    int length = post(bodyBytes).remaining();
    assertEquals(length, peer.getInputStream().readNBytes(length).length);
    peer.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The process is held up after the request was queued and before it is written (review/3). */
  @Test
  void requestQueuedInTimeAndWrittenLateIsNotComplete() throws Exception {
    for (int bodyBytes : new int[] {SMALL_BODY_BYTES, MEDIUM_BODY_BYTES}) {
      CompletableFuture<String> first = send(0, Long.MAX_VALUE);
      try (Socket peer = accept()) {
        respondTo(peer, 0);
        assertEquals("ok", await(first));
        CompletableFuture<String> late = new CompletableFuture<>();
        net.loop()
            .execute(
                () -> {
                  startSend(bodyBytes, inMillis(LIMIT_MILLIS), late);
                  sleep(LIMIT_MILLIS + 1);
                });
        assertEquals(RequestFailure.SEND_LIMIT_EXCEEDED.toString(), await(late));
        long received = countBytes(peer);
        assertEquals(true, received < post(bodyBytes).remaining(), received + " bytes");
      }
    }
  }

  /** The peer reads nothing until the limit has passed, so that the request waits in the queue. */
  @Test
  void requestWaitingForTheSocketIsNotCompletedAfterItsLimit() throws Exception {
    CompletableFuture<String> end = send(LARGE_BODY_BYTES, inMillis(LIMIT_MILLIS));
    try (Socket peer = accept()) {
      Thread.sleep(LIMIT_MILLIS + 1);
      long received = countBytes(peer);
      assertEquals(RequestFailure.SEND_LIMIT_EXCEEDED.toString(), await(end));
      assertEquals(true, received < post(LARGE_BODY_BYTES).remaining(), received + " bytes");
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
