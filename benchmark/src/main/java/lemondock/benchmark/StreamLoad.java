package lemondock.benchmark;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.ResponseReceiver;
import lemondock.scenario.EmulatedProcess;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * A load generator: requests streams through a gateway, or directly from an engine, on several
 * event loops of this process, and counts what their clients receive. Thread-safe.
 */
final class StreamLoad implements AutoCloseable {
  static final long MAX_RECORDED_MICROS = TimeUnit.SECONDS.toMicros(59);
  private static final long HISTOGRAM_MICROS = TimeUnit.SECONDS.toMicros(60);
  private static final int HISTOGRAM_DIGITS = 3;
  private static final int DEFAULT_CONNECTIONS = 100_000;
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final long CONNECT_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(10);
  private static final long IDLE_TIMEOUT_MICROS = TimeUnit.SECONDS.toMicros(60);
  private static final HttpLimits LIMITS = new HttpLimits(8_192, 32_768, 100, 1L << 40);
  private static final long SESSIONS_TIMEOUT_SECONDS = 60;

  private final List<LoadLoop> loops = new ArrayList<>();
  private final Histogram firstTokenMicros =
      new ConcurrentHistogram(HISTOGRAM_MICROS, HISTOGRAM_DIGITS);
  private final Histogram tokenDelayMicros =
      new ConcurrentHistogram(HISTOGRAM_MICROS, HISTOGRAM_DIGITS);
  private final AtomicLong events = new AtomicLong();
  private final AtomicLong failures = new AtomicLong();

  /** An event loop with its own HTTP client. */
  private record LoadLoop(EmulatedProcess process, HttpClient client) {}

  /** A POST request to a loopback port. */
  private record Post(int port, String path, Headers headers, byte[] body) {
    InetSocketAddress address() {
      return new InetSocketAddress("127.0.0.1", port);
    }

    ByteBuffer encode() {
      return HttpEncoder.request("POST", path, headers, body);
    }
  }

  /** Creates a load on that many event loops, with the default limit of connections. */
  StreamLoad(int loopCount) {
    this(loopCount, DEFAULT_CONNECTIONS);
  }

  /** Creates a load whose loops each keep at most that many connections to an address. */
  StreamLoad(int loopCount, int connectionsPerLoop) {
    HttpClientOptions options =
        new HttpClientOptions(
            LIMITS,
            MAX_EVENT_BYTES,
            connectionsPerLoop,
            CONNECT_TIMEOUT_MICROS,
            IDLE_TIMEOUT_MICROS);
    for (int i = 0; i < loopCount; i++) {
      EmulatedProcess process = new EmulatedProcess("load-" + i, 1);
      loops.add(new LoadLoop(process, new HttpClient(process.loop(), process.network(), options)));
    }
  }

  /**
   * Opens sessions at a gateway.
   *
   * @return their ids; null for each session that the gateway rejected
   */
  List<String> openSessions(int port, int count) throws InterruptedException {
    List<String> ids = new ArrayList<>();
    CountDownLatch done = new CountDownLatch(count);
    byte[] body = RequestBodies.initialize();
    for (int i = 0; i < count; i++) {
      Post post = new Post(port, StreamRequest.MCP_PATH, headers(), body);
      send(i, post, () -> new SessionReceiver(ids, failures, done));
    }
    done.await(SESSIONS_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return ids;
  }

  /**
   * Opens sessions, {@code step} at a time, until there are {@code count}; retries rejected ones.
   */
  List<String> openSessionsInSteps(int port, int count, int step) throws InterruptedException {
    List<String> ids = new ArrayList<>();
    while (ids.size() < count) {
      openSessions(port, step).stream().filter(Objects::nonNull).forEach(ids::add);
    }
    return ids;
  }

  /** Sends a call to a gateway; its receiver is created when it is sent. */
  void call(
      int number, int port, String session, byte[] body, Supplier<ResponseReceiver> receiver) {
    Headers headers = headers();
    headers.add("mcp-session-id", session);
    send(number, new Post(port, StreamRequest.MCP_PATH, headers, body), receiver);
  }

  /** Requests a stream; its words, latencies and failures are recorded in this load. */
  void stream(StreamRequest request, CountDownLatch done) {
    Headers headers = headers();
    request.session().ifPresent(session -> headers.add("mcp-session-id", session));
    Post post = new Post(request.port(), request.path(), headers, request.body());
    EmulatedProcess process = loop(request.number()).process();
    send(request.number(), post, () -> new StreamReceiver(this, process.loop(), request, done));
  }

  private void send(int number, Post post, Supplier<ResponseReceiver> receiver) {
    LoadLoop loop = loop(number);
    loop.process()
        .loop()
        .execute(
            () -> {
              ResponseReceiver responseReceiver = receiver.get();
              loop.client().send(post.address(), post.encode(), responseReceiver);
            });
  }

  private LoadLoop loop(int number) {
    return loops.get(number % loops.size());
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

  /** Time from sending a request to the arrival of its first word, in microseconds. */
  Histogram firstTokenMicros() {
    return firstTokenMicros;
  }

  /** Time from the timestamp in a word to its arrival; only for requests with timestamps. */
  Histogram tokenDelayMicros() {
    return tokenDelayMicros;
  }

  /** Number of events with a word of an answer that have arrived so far. */
  long events() {
    return events.get();
  }

  /** Number of requests that have failed so far, plus events that contained an error. */
  long failures() {
    return failures.get();
  }

  void countEvent() {
    events.incrementAndGet();
  }

  void countFailure() {
    failures.incrementAndGet();
  }

  @Override
  public void close() {
    loops.forEach(loop -> loop.process().close());
  }
}
