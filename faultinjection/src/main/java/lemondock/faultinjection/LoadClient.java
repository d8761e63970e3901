package lemondock.faultinjection;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import lemondock.faultinjection.HttpMessageReader.Message;

/**
 * One client of a gateway: sends one call at a time on a connection that it keeps, until it is
 * stopped; some calls it leaves early. It goes on using an open connection whatever the gateway's
 * state. Runs on one thread; {@link #stop} may be called from any.
 */
final class LoadClient implements Runnable {
  private static final long ANSWER_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(500);
  private static final int STREAM_IDLE_TIMEOUT_MILLIS = 7_000;

  /** Clients do not begin all at once. */
  private static final long MAX_START_DELAY_MICROS = TimeUnit.MILLISECONDS.toMicros(800);

  private static final long RECONNECT_PAUSE_MICROS = TimeUnit.MILLISECONDS.toMicros(50);
  private static final double NON_IDEMPOTENT_SHARE = 0.3;
  private static final double LEAVING_SHARE = 0.06;
  private static final double NEW_CONNECTION_SHARE = 0.05;
  private static final int MIN_DEADLINE_PERCENT = 60;
  private static final int MAX_DEADLINE_PERCENT = 100;
  private static final int MIN_PROMPT_CHARACTERS = 200;
  private static final int PROMPT_CHARACTERS_RANGE = 3_000;
  private static final int PREFIX_KEYS = 40;
  private static final String STREAM_END = "data: [DONE]\n\n";

  /** The close of an idle connection crosses a request only if it is noticed so soon. */
  private static final long CROSSING_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  private final String name;
  private final GatewayProcess gateway;
  private final RunRecord runRecord;
  private final Options options;
  private final SplittableRandom random;
  private volatile boolean stopped;

  /** The connection that is kept; null while there is none. */
  private ClientConnection connection;

  private int calls;

  /**
   * How a client behaves.
   *
   * @param deadlineMillis the longest deadline of its calls
   * @param thinkMicros mean pause between two calls
   * @param seed of all that it draws
   */
  record Options(long deadlineMillis, long thinkMicros, long seed) {}

  /** A call, whether it is the first on its connection, and when its client gives up or leaves. */
  private record PendingCall(
      ClientCall call, boolean isFirstOnConnection, boolean leaves, long untilMicros) {
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

  /** Ends it after its present call. */
  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    MonotonicClock.sleepMicros(random.nextLong(MAX_START_DELAY_MICROS));
    while (!stopped) {
      call();
      MonotonicClock.sleepMicros(
          options.thinkMicros() / 2 + random.nextLong(options.thinkMicros()));
    }
    closeConnection();
  }

  private void call() {
    ClientCall call = drawCall();
    if (random.nextDouble() < NEW_CONNECTION_SHARE) {
      closeConnection();
    }
    boolean isFirstOnConnection = connection == null;
    try {
      connectIfNeeded();
    } catch (IOException e) {
      // nothing was sent: the gateway is down or starts
      MonotonicClock.sleepMicros(RECONNECT_PAUSE_MICROS);
      return;
    }
    String request = drawRequest(call);
    runRecord.addCall(call);
    boolean leaves = random.nextDouble() < LEAVING_SHARE;
    long leaveMicros = MonotonicClock.nowMicros() + random.nextLong(call.deadlineMicros() / 3);
    if (send(call, request)) {
      long giveUpMicros = call.dueMicros() + ANSWER_SLACK_MICROS;
      boolean leavesFirst = leaves && leaveMicros <= giveUpMicros;
      awaitAnswer(
          new PendingCall(
              call, isFirstOnConnection, leavesFirst, leavesFirst ? leaveMicros : giveUpMicros));
    }
  }

  private ClientCall drawCall() {
    CallEffect effect =
        random.nextDouble() < NON_IDEMPOTENT_SHARE ? CallEffect.ONCE : CallEffect.SAFE;
    int deadlinePercent =
        MIN_DEADLINE_PERCENT + random.nextInt(MAX_DEADLINE_PERCENT - MIN_DEADLINE_PERCENT + 1);
    long deadlineMicros =
        TimeUnit.MILLISECONDS.toMicros(options.deadlineMillis()) * deadlinePercent / 100;
    calls++;
    String id = name + "-" + calls + "-" + Long.toHexString(random.nextLong() >>> 32);
    return new ClientCall(id, gateway.name(), effect, deadlineMicros);
  }

  private String drawRequest(ClientCall call) {
    int promptCharacters = MIN_PROMPT_CHARACTERS + random.nextInt(PROMPT_CHARACTERS_RANGE);
    int prefixKey = random.nextInt(PREFIX_KEYS);
    return ChatRequest.format(call, promptCharacters, prefixKey);
  }

  private void connectIfNeeded() throws IOException {
    if (connection != null) {
      return;
    }
    if (!gateway.getsNewConnections()) {
      throw new IOException("the platform sends no clients to " + gateway.name());
    }
    connection = ClientConnection.open(gateway.port());
  }

  /** Writes the request; returns false if the connection took it no more. */
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
      giveUp(pending);
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
      String text = connection.readChunks(STREAM_IDLE_TIMEOUT_MILLIS);
      call.end(text.endsWith(STREAM_END) ? CallOutcome.SERVED : CallOutcome.CUT_SHORT);
    } catch (IOException e) {
      call.end(CallOutcome.BROKEN);
      closeConnection();
    }
  }

  /** Ends a call without an answer so far: its client leaves, or its time is up. */
  private void giveUp(PendingCall pending) {
    if (!pending.leaves()) {
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
    boolean crossed = !pending.isFirstOnConnection() && waitedMicros < CROSSING_MICROS;
    pending.call().end(crossed ? CallOutcome.NOT_TAKEN : CallOutcome.UNANSWERED);
    closeConnection();
  }

  private void closeConnection() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
  }
}
