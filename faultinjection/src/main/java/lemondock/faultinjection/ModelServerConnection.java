package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import lemondock.faultinjection.HttpMessageReader.Message;

/**
 * Serves the requests of one connection to a {@link ModelServer}: attempts and releases of reserved
 * states. Belongs to one thread.
 */
final class ModelServerConnection {
  private static final long READ_MICROS = 15_000;
  private static final long READ_MICROS_PER_TOKEN = 20;
  private static final int BYTES_PER_TOKEN = 4;
  private static final long FIRST_TOKEN_MICROS = 10_000;
  private static final long TOKEN_MICROS = 15_000;
  private static final int MIN_TOKENS = 3;
  private static final int TOKENS_RANGE = 20;
  private static final long POLL_MICROS = 4_000;
  private static final String STATE_PATH = "/state/";
  private static final String RELEASE = "DELETE " + STATE_PATH;
  private static final String RELEASED = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String NO_SLOT = "503 Service Unavailable";
  private static final String NO_STATE = "410 Gone";
  private static final String PROMPT_READ =
      "HTTP/1.1 202 Accepted\r\ncontent-length: 19\r\n\r\n{\"cached_tokens\":4}";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\n"
          + "content-type: text/event-stream\r\n"
          + "transfer-encoding: chunked\r\n\r\n";
  private static final String STREAM_END =
      "data: {\"choices\":[],\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n"
          + "data: [DONE]\n\n";

  private final ModelServer server;
  private final Socket socket;
  private final RunRecord runRecord;
  private final ReservedStateTable states;
  private final PushbackInputStream in;

  /** How the wait for a slot of the server ended. */
  private enum SlotWait {
    ACQUIRED,
    TIMED_OUT,
    CLIENT_GONE
  }

  ModelServerConnection(ModelServer server, Socket socket, RunRecord runRecord) throws IOException {
    this.server = server;
    this.socket = socket;
    this.runRecord = runRecord;
    this.states = runRecord.reservedStates();
    this.in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
  }

  /**
   * Serves requests until the client closes, leaves an attempt or the server's process ends.
   *
   * @throws IOException if the connection breaks
   */
  void serve() throws IOException {
    boolean open = true;
    while (open) {
      socket.setSoTimeout(0);
      Optional<Message> request = HttpMessageReader.read(in);
      open = request.isPresent() && handle(request.get());
    }
  }

  /** Handles a request; returns whether the connection can be used for another. */
  private boolean handle(Message request) throws IOException {
    awaitNotHanging();
    if (!request.startLine().startsWith(RELEASE)) {
      return handleAttempt(request);
    }
    String requestId = request.target().substring(STATE_PATH.length());
    runRecord.addRelease(requestId, server.id());
    states.release(requestId);
    HttpMessageWriter.write(socket, RELEASED);
    return true;
  }

  private void awaitNotHanging() {
    while (server.isHanging()) {
      MonotonicClock.sleepMicros(POLL_MICROS);
    }
  }

  private boolean handleAttempt(Message request) throws IOException {
    Arrival arrival = new Arrival(server.id(), server.role(), request);
    runRecord.addArrival(arrival);
    try {
      return server.role() == ServerRole.READER
          ? read(arrival, request.body().length)
          : write(arrival);
    } catch (IOException e) {
      if (arrival.fate() == AttemptFate.UNDER_WAY) {
        arrival.setFate(AttemptFate.DROPPED);
      }
      throw e;
    }
  }

  private SlotWait awaitSlot(Semaphore slots) throws IOException {
    long untilMicros = MonotonicClock.nowMicros() + server.maxQueueMicros();
    try {
      while (!slots.tryAcquire(POLL_MICROS, TimeUnit.MICROSECONDS)) {
        if (hasClientGone()) {
          return SlotWait.CLIENT_GONE;
        }
        if (MonotonicClock.nowMicros() > untilMicros) {
          return SlotWait.TIMED_OUT;
        }
      }
      return SlotWait.ACQUIRED;
    } catch (InterruptedException e) {
      throw new IllegalStateException("interrupted while a request waits for a slot", e);
    }
  }

  // ==== prompts

  private boolean read(Arrival arrival, int promptBytes) throws IOException {
    Semaphore slots = server.freeSlots();
    SlotWait wait = awaitSlot(slots);
    if (wait != SlotWait.ACQUIRED) {
      return endWithoutSlot(arrival, wait);
    }
    try {
      if (!readPrompt(promptBytes)) {
        return drop(arrival);
      }
    } finally {
      slots.release();
    }
    // one that has hung notices too, before it keeps a state that nobody wants
    if (socket.isClosed() || hasClientGone()) {
      return drop(arrival);
    }
    arrival.setFate(AttemptFate.READ);
    states.reserve(arrival.requestId(), server.id());
    HttpMessageWriter.write(socket, PROMPT_READ);
    return true;
  }

  /** Takes the time that reading needs; returns false if the client leaves meanwhile. */
  private boolean readPrompt(int promptBytes) throws IOException {
    long readMicros = READ_MICROS + promptBytes / BYTES_PER_TOKEN * READ_MICROS_PER_TOKEN;
    long endMicros = MonotonicClock.nowMicros() + readMicros;
    while (MonotonicClock.nowMicros() < endMicros) {
      MonotonicClock.sleepUntil(Math.min(endMicros, MonotonicClock.nowMicros() + POLL_MICROS));
      awaitNotHanging();
      if (MonotonicClock.nowMicros() < endMicros && hasClientGone()) {
        return false;
      }
    }
    return true;
  }

  // ==== answers

  private boolean write(Arrival arrival) throws IOException {
    if (!states.beginWrite(arrival.requestId())) {
      return reject(arrival, NO_STATE);
    }
    Semaphore slots = server.freeSlots();
    SlotWait wait = awaitSlotForWrite(arrival, slots);
    if (wait != SlotWait.ACQUIRED) {
      return endWithoutSlot(arrival, wait);
    }
    try {
      awaitNotHanging();
      if (!states.take(arrival.requestId())) {
        return reject(arrival, NO_STATE);
      }
      arrival.setFate(AttemptFate.RAN);
      streamAnswer();
      arrival.markStreamComplete();
      return true;
    } finally {
      slots.release();
    }
  }

  /** Waits for a slot; the reserved state waits for no write any more if there is none. */
  private SlotWait awaitSlotForWrite(Arrival arrival, Semaphore slots) throws IOException {
    SlotWait wait;
    try {
      wait = awaitSlot(slots);
    } catch (IOException e) {
      states.abandonWrite(arrival.requestId());
      throw e;
    }
    if (wait != SlotWait.ACQUIRED) {
      states.abandonWrite(arrival.requestId());
    }
    return wait;
  }

  private void streamAnswer() throws IOException {
    MonotonicClock.sleepMicros(FIRST_TOKEN_MICROS);
    int tokens = MIN_TOKENS + ThreadLocalRandom.current().nextInt(TOKENS_RANGE);
    HttpMessageWriter.write(socket, STREAM_HEAD);
    for (int i = 0; i < tokens; i++) {
      awaitNotHanging();
      HttpMessageWriter.writeChunk(
          socket, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t" + i + "\"}}]}\n\n");
      MonotonicClock.sleepMicros(TOKEN_MICROS);
    }
    awaitNotHanging();
    HttpMessageWriter.writeChunk(socket, STREAM_END);
    HttpMessageWriter.writeLastChunk(socket);
  }

  // ==== other ends

  private boolean endWithoutSlot(Arrival arrival, SlotWait wait) throws IOException {
    return wait == SlotWait.CLIENT_GONE ? drop(arrival) : reject(arrival, NO_SLOT);
  }

  private boolean reject(Arrival arrival, String status) throws IOException {
    arrival.setFate(AttemptFate.NOT_RUN);
    HttpMessageWriter.write(
        socket, "HTTP/1.1 " + status + "\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n");
    return true;
  }

  private boolean drop(Arrival arrival) {
    arrival.setFate(AttemptFate.DROPPED);
    return false;
  }

  /** Whether the client has closed; a byte that comes instead is kept for the next read. */
  private boolean hasClientGone() throws IOException {
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
}
