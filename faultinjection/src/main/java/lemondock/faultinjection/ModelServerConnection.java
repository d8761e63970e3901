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
 * Serves the requests of one connection to a {@link ModelServer}: attempts, and releases of
 * reserved states. An attempt is a read (the prefill of a prompt) or a write (the decode of its
 * answer). Used by one thread only.
 */
final class ModelServerConnection {
  private static final long PREFILL_BASE_MICROS = 15_000;
  private static final long PREFILL_MICROS_PER_TOKEN = 20;
  private static final int BYTES_PER_TOKEN = 4;

  /** Header of a request that asks for events of about this many bytes. */
  static final String EVENT_BYTES_HEADER = "x-emulator-event-bytes";

  private static final long POLL_INTERVAL_MICROS = 4_000;
  private static final String STATE_PATH = "/state/";
  private static final String RELEASE_REQUEST = "DELETE " + STATE_PATH;
  private static final String RELEASE_CONFIRMED = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String NO_SLOT_STATUS = "503 Service Unavailable";
  private static final String NO_STATE_STATUS = "410 Gone";
  private static final String READ_ACCEPTED =
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

  /** How the wait for a free slot of the server ended. */
  private enum SlotWait {
    ACQUIRED,
    TIMED_OUT,
    CLIENT_DISCONNECTED
  }

  ModelServerConnection(ModelServer server, Socket socket, RunRecord runRecord) throws IOException {
    this.server = server;
    this.socket = socket;
    this.runRecord = runRecord;
    this.states = runRecord.reservedStates();
    this.in = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
  }

  /**
   * Serves requests until the client closes the connection or abandons an attempt, or the server
   * crashes.
   *
   * @throws IOException if the connection breaks
   */
  void serve() throws IOException {
    boolean canContinue = true;
    while (canContinue) {
      socket.setSoTimeout(0);
      Optional<Message> request = HttpMessageReader.read(in);
      canContinue = request.isPresent() && handle(request.get());
    }
  }

  /** Handles a request; returns whether the connection can be used for another one. */
  private boolean handle(Message request) throws IOException {
    awaitNotHanging();
    if (!request.startLine().startsWith(RELEASE_REQUEST)) {
      return handleAttempt(request);
    }
    String requestId = request.target().substring(STATE_PATH.length());
    runRecord.addRelease(requestId, server.id());
    states.release(requestId);
    HttpMessageWriter.write(socket, RELEASE_CONFIRMED);
    return true;
  }

  private void awaitNotHanging() {
    while (server.isHanging()) {
      MonotonicClock.sleepMicros(POLL_INTERVAL_MICROS);
    }
  }

  private boolean handleAttempt(Message request) throws IOException {
    Arrival arrival = new Arrival(server.id(), server.role(), request);
    runRecord.addArrival(arrival);
    try {
      return server.role() == ServerRole.READER
          ? handleRead(arrival, request.body().length)
          : handleWrite(arrival, request);
    } catch (IOException e) {
      if (arrival.fate() == AttemptFate.UNDER_WAY) {
        arrival.setFate(AttemptFate.DROPPED);
      }
      throw e;
    }
  }

  /** Waits for a slot, at most until the deadline that the gateway stated. */
  private SlotWait awaitSlot(Arrival arrival, Semaphore slots) throws IOException {
    long untilMicros =
        Math.min(MonotonicClock.nowMicros() + server.maxQueueMicros(), arrival.deadlineMicros());
    try {
      while (!slots.tryAcquire(POLL_INTERVAL_MICROS, TimeUnit.MICROSECONDS)) {
        if (hasClientDisconnected()) {
          return SlotWait.CLIENT_DISCONNECTED;
        }
        if (MonotonicClock.nowMicros() > untilMicros) {
          return SlotWait.TIMED_OUT;
        }
      }
      return SlotWait.ACQUIRED;
    } catch (InterruptedException e) {
      throw new IllegalStateException(
          "interrupted while a request waits for a slot of " + server.id(), e);
    }
  }

  // ==== reads (prefill)

  private boolean handleRead(Arrival arrival, int promptBytes) throws IOException {
    Semaphore slots = server.freeSlots();
    SlotWait wait = awaitSlot(arrival, slots);
    if (wait != SlotWait.ACQUIRED) {
      return endWithoutSlot(arrival, wait);
    }
    try {
      if (!prefill(promptBytes)) {
        return drop(arrival);
      }
    } finally {
      slots.release();
    }
    // checked after a hang as well, so that no state is reserved for a client that disconnected
    if (socket.isClosed() || hasClientDisconnected()) {
      return drop(arrival);
    }
    arrival.setFate(AttemptFate.READ);
    states.reserve(arrival.requestId(), server.id());
    HttpMessageWriter.write(socket, READ_ACCEPTED);
    return true;
  }

  /**
   * Waits for as long as the prefill takes; returns false if the client disconnects before its end.
   */
  private boolean prefill(int promptBytes) throws IOException {
    long prefillMicros =
        PREFILL_BASE_MICROS + promptBytes / BYTES_PER_TOKEN * PREFILL_MICROS_PER_TOKEN;
    long endMicros = MonotonicClock.nowMicros() + prefillMicros;
    while (MonotonicClock.nowMicros() < endMicros) {
      MonotonicClock.sleepUntil(
          Math.min(endMicros, MonotonicClock.nowMicros() + POLL_INTERVAL_MICROS));
      awaitNotHanging();
      if (MonotonicClock.nowMicros() < endMicros && hasClientDisconnected()) {
        return false;
      }
    }
    return true;
  }

  // ==== writes (decode)

  private boolean handleWrite(Arrival arrival, Message request) throws IOException {
    if (!states.beginWrite(arrival.requestId())) {
      return reject(arrival, NO_STATE_STATUS);
    }
    Semaphore slots = server.freeSlots();
    SlotWait wait = awaitSlotForWrite(arrival, slots);
    if (wait != SlotWait.ACQUIRED) {
      return endWithoutSlot(arrival, wait);
    }
    try {
      awaitNotHanging();
      if (!states.take(arrival.requestId())) {
        return reject(arrival, NO_STATE_STATUS);
      }
      arrival.setFate(AttemptFate.RAN);
      streamAnswer(arrival, request);
      arrival.markStreamComplete();
      return true;
    } finally {
      slots.release();
    }
  }

  /** Waits for a slot; without one, the reserved state no longer counts as awaited by a write. */
  private SlotWait awaitSlotForWrite(Arrival arrival, Semaphore slots) throws IOException {
    SlotWait wait;
    try {
      wait = awaitSlot(arrival, slots);
    } catch (IOException e) {
      states.abandonWrite(arrival.requestId());
      throw e;
    }
    if (wait != SlotWait.ACQUIRED) {
      states.abandonWrite(arrival.requestId());
    }
    return wait;
  }

  private void streamAnswer(Arrival arrival, Message request) throws IOException {
    int tokenBytes = request.header(EVENT_BYTES_HEADER).map(Integer::parseInt).orElse(1);
    int maxTokens = ChatRequest.maxAnswerTokens(request);
    try {
      writeEvents(arrival, "t".repeat(tokenBytes), maxTokens);
    } catch (IOException e) {
      if (!socket.isClosed()) { // a crash of this server closes it
        arrival.markEndedByGateway();
      }
      throw e;
    }
  }

  private void writeEvents(Arrival arrival, String token, int maxTokens) throws IOException {
    StreamPace pace = server.pace();
    MonotonicClock.sleepMicros(pace.firstTokenMicros());
    int drawnEvents = pace.minEvents() + ThreadLocalRandom.current().nextInt(pace.eventsRange());
    int events = Math.min(drawnEvents, Math.max(1, maxTokens / pace.tokensPerEvent()));
    String tokens = token.repeat(pace.tokensPerEvent());
    HttpMessageWriter.write(socket, STREAM_HEAD);
    for (int i = 0; i < events; i++) {
      awaitNotHanging();
      HttpMessageWriter.writeChunk(
          socket,
          "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + tokens + i + "\"}}]}\n\n");
      arrival.markEventWritten();
      MonotonicClock.sleepMicros(pace.eventIntervalMicros());
    }
    awaitNotHanging();
    HttpMessageWriter.writeChunk(socket, STREAM_END);
    HttpMessageWriter.writeLastChunk(socket);
  }

  // ==== rejected and abandoned attempts

  private boolean endWithoutSlot(Arrival arrival, SlotWait wait) throws IOException {
    return wait == SlotWait.CLIENT_DISCONNECTED ? drop(arrival) : reject(arrival, NO_SLOT_STATUS);
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

  /**
   * Whether the client has closed the connection; a byte that arrives instead is pushed back to the
   * input.
   */
  private boolean hasClientDisconnected() throws IOException {
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
