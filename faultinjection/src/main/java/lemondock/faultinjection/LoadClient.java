package lemondock.faultinjection;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import lemondock.faultinjection.HttpMessageReader.Message;

/**
 * One client of a gateway. Until it is stopped, it sends one call at a time on a keep-alive
 * connection, and abandons some calls by disconnecting early. It keeps using an open connection
 * regardless of the gateway's state. Runs on one thread; {@link #stop} may be called from any.
 */
final class LoadClient implements Runnable {
  private static final long ANSWER_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
  private static final int STREAM_IDLE_TIMEOUT_MILLIS = 7_000;

  /** Clients start at random times within this period, not all at once. */
  private static final long MAX_START_DELAY_MICROS = TimeUnit.MILLISECONDS.toMicros(800);

  private static final long TERMINATION_POLL_MICROS = TimeUnit.MILLISECONDS.toMicros(5);

  /** Time after SIGTERM until which late clients connect. */
  private static final long MAX_LATE_CONNECT_MICROS = TimeUnit.MILLISECONDS.toMicros(300);

  /** Longest time for which late clients rest on a new connection. */
  private static final long MAX_REST_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);

  private static final long RECONNECT_DELAY_MICROS = TimeUnit.MILLISECONDS.toMicros(50);
  private static final double NON_IDEMPOTENT_PROBABILITY = 0.3;
  private static final double DISCONNECT_PROBABILITY = 0.06;
  private static final double NEW_CONNECTION_PROBABILITY = 0.05;
  private static final int MIN_DEADLINE_PERCENT = 60;
  private static final int MAX_DEADLINE_PERCENT = 100;
  private static final int MIN_PROMPT_CHARACTERS = 200;
  private static final int PROMPT_CHARACTERS_RANGE = 3_000;
  private static final int PREFIX_KEYS = 40;
  private static final String STREAM_END = "data: [DONE]\n\n";

  /**
   * If a reused connection ends without an answer within this time after the request was sent, the
   * gateway is taken to have closed the idle connection before it received the request.
   */
  private static final long IDLE_CLOSE_RACE_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  private final String name;
  private final GatewayProcess gateway;
  private final RunRecord runRecord;
  private final Options options;
  private final SplittableRandom random;
  private volatile boolean stopped;

  /** The keep-alive connection; null while there is none. */
  private ClientConnection connection;

  private int callCount;

  /**
   * The behaviour of a client.
   *
   * @param deadlineMillis the longest deadline of its calls
   * @param thinkMicros mean pause between two calls
   * @param seed for all random choices of the client
   * @param maxAnswerTokens the longest answer that it states
   * @param late whether it connects only after its gateway has got SIGTERM, and rests on the new
   *     connection before it sends
   */
  record Options(
      long deadlineMillis, long thinkMicros, long seed, int maxAnswerTokens, boolean late) {
    /** A client that states the usual length of answers and sends as soon as it has connected. */
    Options(long deadlineMillis, long thinkMicros, long seed) {
      this(deadlineMillis, thinkMicros, seed, StreamPace.USUAL.maxAnswerTokens(), false);
    }
  }

  /**
   * A call that has been sent.
   *
   * @param shouldDisconnect whether the client abandons the call at {@code untilMicros}; otherwise
   *     it gives up waiting for the answer then
   */
  private record PendingCall(
      ClientCall call, boolean isFirstOnConnection, boolean shouldDisconnect, long untilMicros) {
    int remainingMillis() {
      long remainingMicros = untilMicros - MonotonicClock.nowMicros();
      return (int) Math.max(1, TimeUnit.MICROSECONDS.toMillis(remainingMicros));
    }
  }

  LoadClient(String name, GatewayProcess gateway, RunRecord runRecord, Options options) {
    this.name = name;
    this.gateway = gateway;
    this.runRecord = runRecord;
    this.options = options;
    this.random = new SplittableRandom(options.seed());
  }

  /** Stops the client after its current call. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    if (options.late()) {
      awaitTermination();
    } else {
      MonotonicClock.sleepMicros(random.nextLong(MAX_START_DELAY_MICROS));
    }
    while (!stopped) {
      call();
      MonotonicClock.sleepMicros(
          options.thinkMicros() / 2 + random.nextLong(options.thinkMicros()));
    }
    closeConnection();
  }

  private void call() {
    ClientCall call = drawCall();
    if (random.nextDouble() < NEW_CONNECTION_PROBABILITY) {
      closeConnection();
    }
    boolean isFirstOnConnection = connection == null;
    try {
      connectIfNeeded();
    } catch (IOException e) {
      // nothing was sent: the gateway is down or starting
      MonotonicClock.sleepMicros(RECONNECT_DELAY_MICROS);
      return;
    }
    String request = drawRequest(call);
    boolean rests = options.late() && isFirstOnConnection;
    if (rests && !restBeforeFirstCall()) {
      return;
    }
    runRecord.addCall(call);
    boolean mayDisconnect = random.nextDouble() < DISCONNECT_PROBABILITY;
    long disconnectMicros = MonotonicClock.nowMicros() + random.nextLong(call.deadlineMicros() / 3);
    if (send(call, request)) {
      long giveUpMicros = call.dueMicros() + ANSWER_SLACK_MICROS;
      boolean disconnectsFirst = mayDisconnect && disconnectMicros <= giveUpMicros;
      awaitAnswer(
          new PendingCall(
              call,
              isFirstOnConnection && !rests,
              disconnectsFirst,
              disconnectsFirst ? disconnectMicros : giveUpMicros));
    }
  }

  /** Waits until new connections still come to a gateway that has got SIGTERM. */
  private void awaitTermination() {
    while (!stopped && !gateway.isTerminated()) {
      MonotonicClock.sleepMicros(TERMINATION_POLL_MICROS);
    }
    MonotonicClock.sleepMicros(random.nextLong(MAX_LATE_CONNECT_MICROS));
  }

  /** Rests on a new connection; returns false if the gateway closes it meanwhile. */
  private boolean restBeforeFirstCall() {
    long restMillis = TimeUnit.MICROSECONDS.toMillis(random.nextLong(MAX_REST_MICROS));
    boolean stillOpen = connection.staysOpenFor((int) Math.max(1, restMillis));
    if (!stillOpen) {
      closeConnection();
    }
    return stillOpen;
  }

  private ClientCall drawCall() {
    CallEffect effect =
        random.nextDouble() < NON_IDEMPOTENT_PROBABILITY ? CallEffect.ONCE : CallEffect.SAFE;
    int deadlinePercent =
        MIN_DEADLINE_PERCENT + random.nextInt(MAX_DEADLINE_PERCENT - MIN_DEADLINE_PERCENT + 1);
    long deadlineMicros =
        TimeUnit.MILLISECONDS.toMicros(options.deadlineMillis()) * deadlinePercent / 100;
    callCount++;
    String id = name + "-" + callCount + "-" + Long.toHexString(random.nextLong() >>> 32);
    return new ClientCall(id, gateway.name(), effect, deadlineMicros);
  }

  private String drawRequest(ClientCall call) {
    int promptCharacters = MIN_PROMPT_CHARACTERS + random.nextInt(PROMPT_CHARACTERS_RANGE);
    int prefixKey = random.nextInt(PREFIX_KEYS);
    return ChatRequest.format(call, promptCharacters, prefixKey, options.maxAnswerTokens());
  }

  private void connectIfNeeded() throws IOException {
    if (connection != null) {
      return;
    }
    if (!gateway.mayReceiveNewConnections()) {
      throw new IOException("the platform sends no new connections to " + gateway.name());
    }
    connection = ClientConnection.open(gateway.port());
  }

  /** Writes the request; returns false if the connection was already broken. */
  private boolean send(ClientCall call, String request) {
    try {
      call.markSent();
      connection.write(request);
      return true;
    } catch (IOException e) {
      call.end(CallOutcome.NOT_TAKEN);
      closeConnection();
      return false;
    }
  }

  private void awaitAnswer(PendingCall pending) {
    try {
      Optional<Message> answer = connection.readAnswer(pending.remainingMillis());
      if (answer.isPresent()) {
        handleAnswer(pending.call(), answer.get());
      } else {
        endUnanswered(pending);
      }
    } catch (SocketTimeoutException e) {
      abandonOrGiveUp(pending);
    } catch (IOException | RuntimeException e) {
      endUnanswered(pending);
    }
  }

  private void handleAnswer(ClientCall call, Message answer) {
    int status = answer.status();
    call.setStatus(status);
    if (status == 200) {
      readStream(call);
    } else {
      boolean rejected = status == 429 || status == 503;
      call.end(rejected ? CallOutcome.REFUSED : CallOutcome.FAILED);
    }
    if (answer.header("connection").filter("close"::equals).isPresent()) {
      closeConnection();
    }
  }

  private void readStream(ClientCall call) {
    try {
      String body = connection.readChunkedBody(STREAM_IDLE_TIMEOUT_MILLIS);
      call.end(body.endsWith(STREAM_END) ? CallOutcome.SERVED : CallOutcome.CUT_SHORT);
    } catch (IOException e) {
      call.end(CallOutcome.BROKEN);
      closeConnection();
    }
  }

  /** Ends a call that has no answer yet: the client abandons it, or gives up waiting. */
  private void abandonOrGiveUp(PendingCall pending) {
    if (!pending.shouldDisconnect()) {
      pending.call().end(CallOutcome.OPEN);
      closeConnection();
      return;
    }
    if (random.nextBoolean()) {
      connection.reset();
      connection = null;
    } else {
      closeConnection();
    }
    pending.call().markDisconnected();
  }

  private void endUnanswered(PendingCall pending) {
    long waitedMicros = MonotonicClock.nowMicros() - pending.call().sentMicros();
    boolean racedIdleClose =
        !pending.isFirstOnConnection() && waitedMicros < IDLE_CLOSE_RACE_MICROS;
    pending.call().end(racedIdleClose ? CallOutcome.NOT_TAKEN : CallOutcome.UNANSWERED);
    closeConnection();
  }

  private void closeConnection() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
  }
}
