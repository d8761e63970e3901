package lemondock.benchmark;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;
import lemondock.scenario.EmulatedProcess;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Streams over a gateway, or straight to an engine, and what their clients saw. */
final class StreamLoad implements AutoCloseable {
  private static final long MICROS = 1_000_000;
  private final List<EmulatedProcess> nodes = new ArrayList<>();
  private final List<HttpClient> clients = new ArrayList<>();
  final Histogram first = new ConcurrentHistogram(60 * MICROS, 3);
  final Histogram transit = new ConcurrentHistogram(60 * MICROS, 3);
  final AtomicLong events = new AtomicLong();
  final AtomicLong failures = new AtomicLong();

  StreamLoad(int loops) {
    this(loops, 100_000);
  }

  StreamLoad(int loops, int connections) {
    for (int i = 0; i < loops; i++) {
      EmulatedProcess node = new EmulatedProcess("load-" + i, 1);
      nodes.add(node);
      clients.add(
          new HttpClient(
              node.loop(),
              node.network(),
              new HttpClientOptions(
                  new HttpLimits(8_192, 32_768, 100, 1L << 40),
                  1 << 20,
                  connections,
                  10 * MICROS,
                  60 * MICROS)));
    }
  }

  /** Opens sessions at a gateway. */
  List<String> sessions(int port, int count) throws InterruptedException {
    List<String> ids = new ArrayList<>();
    CountDownLatch done = new CountDownLatch(count);
    byte[] body =
        ("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":"
                + "{\"protocolVersion\":\"2025-06-18\"}}")
            .getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < count; i++) {
      int at = i % nodes.size();
      nodes
          .get(at)
          .loop()
          .execute(
              () ->
                  clients
                      .get(at)
                      .send(
                          new InetSocketAddress("127.0.0.1", port),
                          HttpEncoder.request("POST", "/mcp", headers(), body),
                          new ResponseReceiver() {
                            @Override
                            public void onHead(HttpEvent.ResponseHead head) {
                              synchronized (ids) {
                                ids.add(head.headers().firstValue("mcp-session-id").orElse(null));
                              }
                            }

                            @Override
                            public void onComplete() {
                              done.countDown();
                            }

                            @Override
                            public void onFailure(RequestFailure failure, String what) {
                              failures.incrementAndGet();
                              done.countDown();
                            }
                          }));
    }
    done.await(60, TimeUnit.SECONDS);
    return ids;
  }

  private static Headers headers() {
    return Headers.of(
        "host",
        "localhost",
        "content-type",
        "application/json",
        "accept",
        "application/json, text/event-stream");
  }

  /** A call of a gateway's tool. */
  static byte[] call(int id, String prompt) {
    return call(id, "sale-lookup", prompt);
  }

  static byte[] call(int id, String tool, String prompt) {
    return ("{\"jsonrpc\":\"2.0\",\"id\":"
            + id
            + ",\"method\":\"tools/call\",\"params\":{\"name\":\""
            + tool
            + "\","
            + "\"_meta\":{\"progressToken\":1},\"arguments\":{\"prompt\":\""
            + prompt
            + "\"}}}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** A call that offers the model a tool. */
  static byte[] toolCall(int id, String prompt) {
    return ("{\"jsonrpc\":\"2.0\",\"id\":"
            + id
            + ",\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\","
            + "\"arguments\":{\"prompt\":\""
            + prompt
            + "\",\"tools\":[{\"name\":\"stock\",\"inputSchema\":{\"type\":\"object\"}}]}}}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** The same prompt for an engine. */
  static byte[] direct(String prompt) {
    return ("{\"model\":\"m\",\"stream\":true,\"max_tokens\":1000000,\"messages\":[{\"role\":\"user\",\"content\":\""
            + prompt
            + "\"}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Sends a call; the receiver is made when it goes out. */
  void send(
      int number, int port, String session, byte[] body, Supplier<ResponseReceiver> receiver) {
    int at = number % nodes.size();
    Headers headers = headers();
    headers.add("mcp-session-id", session);
    nodes
        .get(at)
        .loop()
        .execute(
            () ->
                clients
                    .get(at)
                    .send(
                        new InetSocketAddress("127.0.0.1", port),
                        HttpEncoder.request("POST", "/mcp", headers, body),
                        receiver.get()));
  }

  /**
   * Begins a stream; {@code session} null goes to an engine. Words that are moments tell how long
   * they took.
   */
  void stream(
      int number, int port, String session, byte[] body, boolean stamped, CountDownLatch done) {
    int at = number % nodes.size();
    EmulatedProcess node = nodes.get(at);
    Headers headers = headers();
    if (session != null) {
      headers.add("mcp-session-id", session);
    }
    node.loop()
        .execute(
            () -> {
              long begun = node.loop().now();
              clients
                  .get(at)
                  .send(
                      new InetSocketAddress("127.0.0.1", port),
                      HttpEncoder.request(
                          "POST", session == null ? "/v1/chat/completions" : "/mcp", headers, body),
                      new ResponseReceiver() {
                        private boolean heard;

                        @Override
                        public void onHead(HttpEvent.ResponseHead head) {
                          if (head.status() != 200) {
                            failures.incrementAndGet();
                          }
                        }

                        @Override
                        public Object mapEvent(SseEvent event) {
                          String word =
                              word(
                                  event.data(),
                                  session == null ? "\"content\":\" " : "\"message\":\" ");
                          if (word == null && event.data().contains("\"error\"")) {
                            failures.incrementAndGet();
                          }
                          if (word != null) {
                            events.incrementAndGet();
                            if (stamped) {
                              transit.recordValue(
                                  Math.max(
                                      0,
                                      Math.min(
                                          59 * MICROS, node.loop().now() - Long.parseLong(word))));
                            }
                          }
                          return word == null ? "" : word;
                        }

                        @Override
                        public void onEvent(Object mapped) {
                          if (!heard && !mapped.equals("")) {
                            heard = true;
                            first.recordValue(Math.min(59 * MICROS, node.loop().now() - begun));
                          }
                        }

                        @Override
                        public void onComplete() {
                          done.countDown();
                        }

                        @Override
                        public void onFailure(RequestFailure failure, String what) {
                          failures.incrementAndGet();
                          done.countDown();
                        }
                      });
            });
  }

  private static String word(String data, String before) {
    int at = data.indexOf(before);
    if (at < 0) {
      return null;
    }
    int from = at + before.length();
    return data.substring(from, data.indexOf('"', from));
  }

  @Override
  public void close() {
    nodes.forEach(EmulatedProcess::close);
  }
}
