package lemondock.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients that each send one call to a gateway, on a connection and from a thread of their own, and
 * read its answer to the end. Used by one thread.
 */
final class SingleCalls {
  private static final int PROMPT_CHARACTERS = 400;
  private static final int PREFIX_KEY = 1;
  private static final int READ_TIMEOUT_MILLIS = 10_000;

  private final String name;
  private final GatewayProcess gateway;
  private final int maxAnswerTokens;
  private final List<ClientCall> calls = new ArrayList<>();
  private final List<Thread> threads = new ArrayList<>();

  /**
   * Creates no client yet.
   *
   * @param name begins the ids of the calls, which a gateway must not have seen before
   * @param maxAnswerTokens the maximum length of the answer that all calls state
   */
  SingleCalls(String name, GatewayProcess gateway, int maxAnswerTokens) {
    this.name = name;
    this.gateway = gateway;
    this.maxAnswerTokens = maxAnswerTokens;
  }

  /** Starts a client that connects and sends now. */
  void start(CallEffect effect, long deadlineMillis) {
    start(effect, deadlineMillis, 0, 0);
  }

  /** Starts a client that connects and sends after the given times from now. */
  void start(CallEffect effect, long deadlineMillis, long connectMillis, long sendMillis) {
    long startedMicros = MonotonicClock.nowMicros();
    ClientCall call =
        new ClientCall(
            name + "-" + calls.size(),
            gateway.name(),
            effect,
            TimeUnit.MILLISECONDS.toMicros(deadlineMillis));
    calls.add(call);
    threads.add(
        DaemonThreads.start(
            call.id(),
            () -> {
              try {
                sleepUntil(startedMicros, connectMillis);
                ClientConnection connection = ClientConnection.open(gateway.port());
                sleepUntil(startedMicros, sendMillis);
                sendAndRead(call, connection);
              } catch (IOException | RuntimeException e) {
                call.end(CallOutcome.BROKEN);
              }
            }));
  }

  private static void sleepUntil(long startedMicros, long millis) {
    MonotonicClock.sleepUntil(startedMicros + TimeUnit.MILLISECONDS.toMicros(millis));
  }

  private void sendAndRead(ClientCall call, ClientConnection connection) throws IOException {
    call.markSent();
    connection.write(ChatRequest.format(call, PROMPT_CHARACTERS, PREFIX_KEY, maxAnswerTokens));
    int status = connection.readAnswer(READ_TIMEOUT_MILLIS).orElseThrow().status();
    call.setStatus(status);
    if (status == 200) {
      connection.readChunkedBody(READ_TIMEOUT_MILLIS);
      call.end(CallOutcome.SERVED);
    } else {
      call.end(status == 503 ? CallOutcome.REFUSED : CallOutcome.FAILED);
    }
  }

  /** Waits for the end of all calls. */
  void await() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** The number of calls with that outcome. */
  long count(CallOutcome outcome) {
    return calls.stream().filter(call -> call.outcome() == outcome).count();
  }

  /** Describes the calls that have no whole stream. */
  List<String> notServed() {
    return calls.stream()
        .filter(call -> call.outcome() != CallOutcome.SERVED)
        .map(SingleCalls::describe)
        .toList();
  }

  private static String describe(ClientCall call) {
    return call.id()
        + ": status "
        + call.status()
        + ", "
        + call.outcome()
        + " after "
        + TimeUnit.MICROSECONDS.toMillis(call.endedMicros() - call.sentMicros())
        + " ms";
  }
}
