package lemondock.emulator;

import java.util.Optional;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;

/**
 * The work for one request from arrival to end: a prefill or the fetch of a reserved state, then,
 * unless the request is a prefill only, the answer. Loop thread only.
 */
final class EngineJob {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** A job's position in the scheduler; a queued or running job holds memory. */
  enum SchedulingState {
    NONE,
    QUEUED,
    RUNNING
  }

  private final EngineContext engine;
  private final EngineRequest request;
  private final HttpExchange exchange;
  private SchedulingState schedulingState = SchedulingState.NONE;
  private boolean ended;
  private boolean decodeStarted;
  private int cachedTokens;
  private Optional<AnswerStream> answer = Optional.empty();

  EngineJob(EngineContext engine, EngineRequest request, HttpExchange exchange) {
    this.engine = engine;
    this.request = request;
    this.exchange = exchange;
  }

  EngineRequest request() {
    return request;
  }

  HttpExchange exchange() {
    return exchange;
  }

  SchedulingState schedulingState() {
    return schedulingState;
  }

  void setSchedulingState(SchedulingState newState) {
    schedulingState = newState;
  }

  boolean hasEnded() {
    return ended;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  int tokensSent() {
    return answer.map(AnswerStream::tokensSent).orElse(0);
  }

  void record(TrafficEvent.Kind kind, long value, String detail) {
    engine.traffic().record(kind, request.source(), value, detail);
  }

  /** Rejects the request with status 503, before any work is done. */
  void reject(String code, String message) {
    ended = true;
    record(TrafficEvent.Kind.REJECTED, 0, code);
    EngineMessages.respondWithError(exchange, 503, code, message);
  }

  /** Starts the work; the scheduler has given the job a slot. */
  void run() {
    if (request.hasRemoteState()) {
      fetchState();
      return;
    }
    cachedTokens = engine.prefixCache().cachedTokens(request);
    int uncachedTokens = request.promptTokens() - cachedTokens;
    EngineSettings settings = engine.settings();
    runAfter(
        settings.readMs() + 1000.0 * uncachedTokens / settings.readPerSecond(),
        () -> {
          engine.prefixCache().add(request);
          if (request.isPrefill()) {
            finishPrefill();
          } else {
            runAfter(settings.firstMs(), this::startDecode);
          }
        });
  }

  /** Runs a step after its duration, unless the job has ended or the engine died by then. */
  void runAfter(double fullSpeedMs, Runnable step) {
    engine
        .clock()
        .runAfter(
            fullSpeedMs,
            () -> {
              if (isAlive()) {
                step.run();
              }
            });
  }

  private boolean isAlive() {
    return !ended && !engine.clock().isDead();
  }

  private boolean drawFault(double share) {
    return engine.random().nextDouble() < share;
  }

  private void finishPrefill() {
    if (drawFault(engine.faults().errorShare)) {
      respondWithInternalError("read");
      return;
    }
    final boolean isResponseLost = drawFault(engine.faults().lostAnswerShare);
    if (engine.states().consumeAbort(request.id())) {
      end();
      return;
    }
    if (engine.faults().losesStates) {
      engine.states().reserveAndLose(request);
    } else {
      engine.states().reserve(request);
    }
    end();
    if (!isResponseLost) {
      byte[] response =
          EngineMessages.prefillResponse(
              request, cachedTokens, engine.settings().name(), engine.address().get());
      record(TrafficEvent.Kind.ANSWERED, 200, "read");
      exchange.respond(200, Headers.of("content-type", "application/json"), response);
    }
  }

  private void respondWithInternalError(String phase) {
    record(TrafficEvent.Kind.ANSWERED, 500, phase);
    EngineMessages.respondWithError(exchange, 500, "internal", "a fault of the stand-in");
    end();
  }

  private void fetchState() {
    if (!StateFetcher.hasAddress(request.transferParams())) {
      end();
      reject("kv_state_missing", "the state's address makes no sense");
      return;
    }
    engine
        .stateFetcher()
        .fetch(
            request.transferParams(),
            found -> {
              if (!isAlive()) {
                return;
              }
              if (found) {
                runAfter(engine.settings().firstMs(), this::startDecode);
              } else {
                end();
                reject("kv_state_missing", "the state is not there");
              }
            });
  }

  private void startDecode() {
    decodeStarted = true;
    record(TrafficEvent.Kind.DECODE_STARTED, request.messages().size(), "");
    if (drawFault(engine.faults().errorShare)) {
      respondWithInternalError("write");
      return;
    }
    if (drawFault(engine.faults().lostAnswerShare)) {
      // The work counts as done, but no response is sent; the slot is freed after a second.
      engine.loop().schedule(MICROS_PER_SECOND, () -> engine.scheduler().release(this));
      return;
    }
    AnswerStream stream = new AnswerStream(engine, this);
    answer = Optional.of(stream);
    stream.begin();
  }

  /** Handles the loss of the gateway's connection: queued or running work is cancelled. */
  void onDisconnect() {
    record(TrafficEvent.Kind.CONNECTION_LOST, tokensSent(), decodeStarted ? "running" : "waiting");
    end();
  }

  /** Ends the job at a gateway's request to abort it, and aborts its connection. */
  void abort() {
    onDisconnect();
    exchange.abort();
  }

  /** Ends the job and frees its slot and memory; none of its later steps run. */
  void end() {
    if (!ended) {
      ended = true;
      engine.scheduler().untrack(this);
      engine.scheduler().release(this);
    }
  }
}
