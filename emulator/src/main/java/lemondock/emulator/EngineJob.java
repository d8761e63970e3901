package lemondock.emulator;

import java.util.Optional;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;

/**
 * The work for one request, from its arrival to its end: prefill or fetching of the state, then the
 * answer. Loop thread only.
 */
final class EngineJob {
  private static final long MICROS_PER_SECOND = 1_000_000;

  /** Where a job is; one with a place holds memory. */
  enum Place {
    NONE,
    QUEUED,
    RUNNING
  }

  private final EngineContext engine;
  private final EngineRequest request;
  private final HttpExchange exchange;
  private Place place = Place.NONE;
  private boolean over;
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

  Place place() {
    return place;
  }

  void setPlace(Place newPlace) {
    place = newPlace;
  }

  boolean isOver() {
    return over;
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

  /** Rejects the request before any work was done. */
  void reject(String code, String message) {
    over = true;
    record(TrafficEvent.Kind.REJECTED, 0, code);
    EngineMessages.respondWithError(exchange, 503, code, message);
  }

  /** Begins the work; the job has a slot. */
  void run() {
    if (request.hasRemoteState()) {
      fetchState();
      return;
    }
    cachedTokens = engine.prefixCache().cachedTokens(request);
    int uncachedTokens = request.promptTokens() - cachedTokens;
    EngineSettings settings = engine.settings();
    after(
        settings.readMs() + 1000.0 * uncachedTokens / settings.readPerSecond(),
        () -> {
          engine.prefixCache().add(request);
          if (request.isPrefill()) {
            finishPrefill();
          } else {
            after(settings.firstMs(), this::startDecode);
          }
        });
  }

  /** Runs a step of work after its time, unless the job or the engine has ended meanwhile. */
  void after(double fullSpeedMs, Runnable step) {
    engine
        .clock()
        .after(
            fullSpeedMs,
            () -> {
              if (isAlive()) {
                step.run();
              }
            });
  }

  private boolean isAlive() {
    return !over && !engine.clock().isDead();
  }

  private boolean draw(double share) {
    return engine.random().nextDouble() < share;
  }

  private void finishPrefill() {
    if (draw(engine.faults().errorShare)) {
      failAnswered("read");
      return;
    }
    final boolean answerIsLost = draw(engine.faults().lostAnswerShare);
    if (engine.states().takeAborted(request.id())) {
      end();
      return;
    }
    if (engine.faults().losesStates) {
      engine.states().reserveAndLose(request);
    } else {
      engine.states().reserve(request);
    }
    end();
    if (!answerIsLost) {
      byte[] response =
          EngineMessages.prefillResponse(
              request, cachedTokens, engine.settings().name(), engine.address().get());
      record(TrafficEvent.Kind.ANSWERED, 200, "read");
      exchange.respond(200, Headers.of("content-type", "application/json"), response);
    }
  }

  private void failAnswered(String work) {
    record(TrafficEvent.Kind.ANSWERED, 500, work);
    EngineMessages.respondWithError(exchange, 500, "internal", "a fault of the stand-in");
    end();
  }

  private void fetchState() {
    if (!StateFetcher.hasAddress(request.transfer())) {
      end();
      reject("kv_state_missing", "the state's address makes no sense");
      return;
    }
    engine
        .stateFetcher()
        .fetch(
            request.transfer(),
            found -> {
              if (!isAlive()) {
                return;
              }
              if (found) {
                after(engine.settings().firstMs(), this::startDecode);
              } else {
                end();
                reject("kv_state_missing", "the state is not there");
              }
            });
  }

  private void startDecode() {
    decodeStarted = true;
    record(TrafficEvent.Kind.DECODE_STARTED, request.messages().size(), "");
    if (draw(engine.faults().errorShare)) {
      failAnswered("write");
      return;
    }
    if (draw(engine.faults().lostAnswerShare)) {
      // The work is done, and nobody is told.
      engine.loop().schedule(MICROS_PER_SECOND, () -> engine.scheduler().release(this));
      return;
    }
    AnswerStream stream = new AnswerStream(engine, this);
    answer = Optional.of(stream);
    stream.begin();
  }

  /** The gateway's connection is gone: waiting work is dropped, running work stops. */
  void onDisconnect() {
    record(TrafficEvent.Kind.CONNECTION_LOST, tokensSent(), decodeStarted ? "running" : "waiting");
    end();
  }

  /** Ends the job as a gateway's abort does. */
  void abort() {
    onDisconnect();
    exchange.abort();
  }

  /** Frees what the job holds; nothing of it runs any more. */
  void end() {
    if (!over) {
      over = true;
      engine.scheduler().untrack(this);
      engine.scheduler().release(this);
    }
  }
}
