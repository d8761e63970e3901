package lemondock.emulator;

import lemondock.emulator.EngineMessages.FinishReason;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;

/** Streams an answer as server-sent events, one token each. Loop thread only. */
final class AnswerStream {
  /** The stream pauses while more than this many bytes wait to be sent to the client. */
  private static final long HIGH_WATER_BYTES = 64 * 1024;

  private final EngineContext engine;
  private final EngineJob job;
  private final EngineRequest request;
  private final HttpExchange exchange;
  private final AnswerScript.Turn turn;
  private final boolean stampsTokens;
  private final double tokenMs;
  private int tokensSent;
  private boolean paused;

  AnswerStream(EngineContext engine, EngineJob job) {
    this.engine = engine;
    this.job = job;
    this.request = job.request();
    this.exchange = job.exchange();
    this.turn = AnswerScript.nextTurn(request.body());
    this.stampsTokens = AnswerScript.lastMessageContains(request.messages(), "stamp each word");
    boolean isUnpaced = AnswerScript.lastMessageContains(request.messages(), "without pause");
    this.tokenMs = isUnpaced ? 0 : engine.settings().tokenMs();
  }

  int tokensSent() {
    return tokensSent;
  }

  void begin() {
    exchange.begin(200, Headers.of("content-type", "text/event-stream; charset=utf-8"));
    exchange.onWriteQueueDrained(
        () -> {
          if (paused) {
            paused = false;
            sendNext();
          }
        });
    send(EngineMessages.roleDelta(), FinishReason.NONE);
    sendNext();
  }

  private void sendNext() {
    if (job.hasEnded()) {
      return;
    }
    EngineFaults faults = engine.faults();
    if (faults.breakAfterTokens >= 0 && tokensSent >= faults.breakAfterTokens && faults.takeHit()) {
      job.record(TrafficEvent.Kind.CONNECTION_LOST, tokensSent, "on purpose");
      job.end();
      exchange.abort();
    } else if (faults.stallAfterTokens >= 0
        && tokensSent >= faults.stallAfterTokens
        && faults.takeHit()) {
      paused = false; // the stream stalls for good, even if the queue drains
    } else if (faults.malformedEvent != null && tokensSent == 1 && faults.takeHit()) {
      exchange.send(EngineMessages.event(faults.malformedEvent));
      tokensSent++;
      job.runAfter(tokenMs, this::sendNext);
    } else if (tokensSent < Math.min(turn.pieces().size(), request.maxTokens())) {
      sendToken();
    } else {
      finish();
    }
  }

  private void sendToken() {
    String piece = stampsTokens ? " " + engine.loop().now() : turn.pieces().get(tokensSent);
    tokensSent++;
    send(EngineMessages.contentDelta(piece), FinishReason.NONE);
    if (exchange.pendingBytes() > HIGH_WATER_BYTES) {
      paused = true;
    } else {
      job.runAfter(tokenMs, this::sendNext);
    }
  }

  private void finish() {
    boolean isTruncated = tokensSent >= request.maxTokens() && tokensSent < turn.pieces().size();
    if (isTruncated) {
      send("{}", FinishReason.LENGTH);
    } else {
      sendToolCalls();
      send("{}", turn.toolCalls().isEmpty() ? FinishReason.STOP : FinishReason.TOOL_CALLS);
    }
    exchange.send(EngineMessages.usageChunk(request, tokensSent, job.cachedTokens()));
    exchange.send(EngineMessages.STREAM_END);
    job.record(TrafficEvent.Kind.ANSWERED, 200, "write");
    job.end();
    exchange.finish();
  }

  /** Sends the arguments of each call in two fragments, as engines do. */
  private void sendToolCalls() {
    int index = 0;
    for (AnswerScript.ToolCall call : turn.toolCalls()) {
      String arguments = call.arguments();
      int half = arguments.length() / 2;
      send(
          EngineMessages.toolCallDelta(index, call, arguments.substring(0, half)),
          FinishReason.NONE);
      send(EngineMessages.argumentsDelta(index, arguments.substring(half)), FinishReason.NONE);
      index++;
    }
  }

  private void send(String delta, FinishReason finishReason) {
    exchange.send(EngineMessages.chunk(request, delta, finishReason, tokensSent));
  }
}
