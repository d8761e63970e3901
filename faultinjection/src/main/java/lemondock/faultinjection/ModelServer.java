package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import lemondock.faultinjection.RunRecord.Arrival;
import lemondock.faultinjection.RunRecord.Fate;
import lemondock.net.nio.LoopbackPort;

/**
 * A stand-in for one model server, a reader or a writer. It can hang (accepts, takes nothing), die
 * and start again. It tells the truth of what reached it with its last byte while it ran.
 */
final class ModelServer implements AutoCloseable {
  private static final long READ_MICROS = 15_000;
  private static final long READ_MICROS_PER_TOKEN = 20;
  private static final long TOKEN_MICROS = 15_000;
  private static final long FIRST_TOKEN_MICROS = 10_000;
  private static final long LOOK_MICROS = 4_000;
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\n"
          + "content-type: text/event-stream\r\n"
          + "transfer-encoding: chunked\r\n\r\n";
  private static final String NOT_RUN = "\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

  final String id;
  final String zone;
  final boolean reads;
  private final RunRecord truth;
  private final int slots;
  private final long mostQueueMicros;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Semaphore free;
  private final LoopbackPort reservedPort = LoopbackPort.reserve();
  private volatile ServerSocket port;
  private volatile boolean hanging;
  private volatile long startedAt;

  /** A server with so many places; a call that finds none for that long is turned away. */
  ModelServer(
      String id, String zone, boolean reads, int slots, long mostQueueMicros, RunRecord truth)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.reads = reads;
    this.slots = slots;
    this.mostQueueMicros = mostQueueMicros;
    this.truth = truth;
    start(0);
  }

  /** Starts, always at the same address; {@code since} is the wall time told, 0 for long ago. */
  void start(long since) throws IOException {
    ServerSocket next = new ServerSocket();
    next.setReuseAddress(true);
    next.bind(reservedPort.address(), 256);
    free = new Semaphore(slots, true);
    startedAt = since;
    port = next;
    daemon("accept-" + id, () -> accept(next));
  }

  /** Dies: its connections are reset, new ones refused, its states gone. */
  void die() {
    try {
      port.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // its peer was quicker
      }
    }
    truth.states.died(id);
  }

  /** Hangs, or goes on with what has come meanwhile. */
  void hang(boolean on) {
    hanging = on;
  }

  InetSocketAddress address() {
    return reservedPort.address();
  }

  /** Wall time of its last start in milliseconds, 0 for long ago. */
  long startedAt() {
    return startedAt;
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 128 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket from) {
    try {
      while (true) {
        Socket socket = from.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        daemon("serve-" + id, () -> serve(socket));
      }
    } catch (IOException e) {
      // it has died
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      PushbackInputStream in =
          new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
      while (true) {
        socket.setSoTimeout(0);
        HttpMessageReader.Message message = HttpMessageReader.read(in);
        if (message == null) {
          return;
        }
        awaitRunning();
        if (message.first().startsWith("DELETE /state/")) {
          String of = message.first().split(" ")[1].substring("/state/".length());
          truth.releases.add(new RunRecord.Release(of, id, MonotonicClock.now()));
          truth.states.release(of);
          socket
              .getOutputStream()
              .write(HttpMessageReader.bytes("HTTP/1.1 204 No Content\r\n\r\n"));
        } else if (!attempt(message, socket, in)) {
          return;
        }
      }
    } catch (IOException | RuntimeException e) {
      // its peer has gone, or it died
    } finally {
      open.remove(socket);
    }
  }

  private void awaitRunning() {
    while (hanging) {
      MonotonicClock.sleep(LOOK_MICROS);
    }
  }

  private boolean attempt(HttpMessageReader.Message message, Socket socket, PushbackInputStream in)
      throws IOException {
    Arrival arrival =
        new Arrival(
            message.header("x-request-id"),
            id,
            reads,
            message.firstByteAt(),
            MonotonicClock.now(),
            Long.parseLong(message.header("x-deadline-ms")));
    truth.arrivals.add(arrival);
    try {
      return reads ? read(arrival, message, socket, in) : write(arrival, socket, in);
    } catch (IOException e) {
      arrival.fate = arrival.fate == Fate.UNDER_WAY ? Fate.DROPPED : arrival.fate;
      throw e;
    }
  }

  /** Waits for a place; null if it has one, else what to do. */
  private Fate placed(Semaphore places, Socket socket, PushbackInputStream in) throws IOException {
    long until = MonotonicClock.now() + mostQueueMicros;
    try {
      while (!places.tryAcquire(LOOK_MICROS, TimeUnit.MICROSECONDS)) {
        if (gone(socket, in)) {
          return Fate.DROPPED;
        }
        if (MonotonicClock.now() > until) {
          return Fate.NOT_RUN;
        }
      }
      return null;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean read(
      Arrival arrival, HttpMessageReader.Message message, Socket socket, PushbackInputStream in)
      throws IOException {
    Semaphore places = free;
    Fate turnedAway = placed(places, socket, in);
    if (turnedAway != null) {
      return end(arrival, turnedAway, socket, "503 Service Unavailable");
    }
    try {
      long end =
          MonotonicClock.now() + READ_MICROS + message.body().length / 4 * READ_MICROS_PER_TOKEN;
      while (MonotonicClock.now() < end) {
        MonotonicClock.sleepUntil(Math.min(end, MonotonicClock.now() + LOOK_MICROS));
        awaitRunning();
        if (MonotonicClock.now() < end && gone(socket, in)) {
          arrival.fate = Fate.DROPPED;
          return false;
        }
      }
    } finally {
      places.release();
    }
    if (socket.isClosed()
        || gone(socket, in)) { // also one that has hung notices before it keeps a state that nobody
      // wants
      arrival.fate = Fate.DROPPED;
      return false;
    }
    arrival.fate = Fate.READ;
    truth.states.made(arrival.id, id);
    socket
        .getOutputStream()
        .write(
            HttpMessageReader.bytes(
                "HTTP/1.1 202 Accepted\r\n"
                    + "content-length: 19\r\n\r\n"
                    + "{\"cached_tokens\":4}"));
    return true;
  }

  private boolean write(Arrival arrival, Socket socket, PushbackInputStream in) throws IOException {
    if (!truth.states.attach(arrival.id)) {
      return end(arrival, Fate.NOT_RUN, socket, "410 Gone");
    }
    Semaphore places = free;
    Fate turnedAway;
    try {
      turnedAway = placed(places, socket, in);
    } catch (IOException e) {
      truth.states.detach(arrival.id);
      throw e;
    }
    if (turnedAway != null) {
      truth.states.detach(arrival.id);
      return end(arrival, turnedAway, socket, "503 Service Unavailable");
    }
    try {
      awaitRunning();
      if (!truth.states.take(arrival.id)) {
        return end(arrival, Fate.NOT_RUN, socket, "410 Gone");
      }
      arrival.fate = Fate.RAN;
      return stream(arrival, socket);
    } finally {
      places.release();
    }
  }

  private boolean stream(Arrival arrival, Socket socket) throws IOException {
    MonotonicClock.sleep(FIRST_TOKEN_MICROS);
    int tokens = 3 + ThreadLocalRandom.current().nextInt(20);
    socket.getOutputStream().write(HttpMessageReader.bytes(HEAD));
    for (int i = 0; i < tokens; i++) {
      awaitRunning();
      socket
          .getOutputStream()
          .write(
              chunk(
                  "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t"
                      + i
                      + "\"}}]}\n\n"));
      MonotonicClock.sleep(TOKEN_MICROS);
    }
    awaitRunning();
    socket
        .getOutputStream()
        .write(
            chunk(
                "data:"
                    + " {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
                    + "data: [DONE]\n\n"));
    socket.getOutputStream().write(HttpMessageReader.bytes("0\r\n\r\n"));
    arrival.streamedAt = MonotonicClock.now();
    arrival.streamedWhole = true;
    return true;
  }

  private static byte[] chunk(String data) {
    return HttpMessageReader.bytes(Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
  }

  private boolean end(Arrival arrival, Fate fate, Socket socket, String status) throws IOException {
    arrival.fate = fate;
    if (fate == Fate.DROPPED) {
      return false;
    }
    socket.getOutputStream().write(HttpMessageReader.bytes("HTTP/1.1 " + status + NOT_RUN));
    return true;
  }

  /** Whether the peer has closed; a byte that comes instead is kept. */
  private static boolean gone(Socket socket, PushbackInputStream in) throws IOException {
    socket.setSoTimeout(1);
    try {
      int next = in.read();
      if (next >= 0) {
        in.unread(next);
      }
      return next < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } finally {
      socket.setSoTimeout(0);
    }
  }

  @Override
  public void close() {
    die();
    hanging = false;
    reservedPort.close();
  }
}
