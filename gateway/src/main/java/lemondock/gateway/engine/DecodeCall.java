package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import lemondock.dispatch.AttemptListener;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.EngineCall;
import lemondock.dispatch.EnginePort;
import lemondock.net.Loop;
import lemondock.net.http.RequestFailure;
import lemondock.net.sse.SseEvent;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;

/**
 * A decode in flight, whose reply is an event stream. A stream that becomes silent after its first
 * output is cancelled. Loop thread only, except for {@link #consumeInPlace} and {@link #mapEvent},
 * which run on the I/O thread of the engine's connection.
 */
final class DecodeCall extends EngineCall<JsonNode, CompletionChunk> {
  private static final long MICROS_PER_MILLI = 1_000;

  private final long maxSilenceMicros;

  /** Used only on the I/O thread of the engine's connection. */
  private final TextEventParser textParser = new TextEventParser();

  /** Null while plain text passes through the loop; set on the loop, read on the I/O thread. */
  private volatile DirectOutput directOutput;

  /** Whether the answer is complete and only the end of the stream is outstanding; loop only. */
  private boolean isAnswerComplete;

  DecodeCall(
      AttemptListener<JsonNode, CompletionChunk> listener,
      Loop loop,
      StallMonitor stallMonitor,
      long maxSilenceMicros) {
    super(listener, loop, stallMonitor, maxSilenceMicros);
    this.maxSilenceMicros = maxSilenceMicros;
  }

  @Override
  protected String idleTimeoutMessage() {
    return "the stream stayed silent for " + maxSilenceMicros / MICROS_PER_MILLI + " ms";
  }

  @Override
  protected void onEnd() {
    directOutput = null;
  }

  /** From now on plain text is written to the output; other events still pass through the loop. */
  @Override
  public void setDirectOutput(DirectOutput output) {
    directOutput = output;
  }

  @Override
  public boolean consumeInPlace(byte[] data, int length) {
    DirectOutput output = directOutput;
    if (output == null
        || !textParser.parse(data, length)
        || !output.offer(textParser.text(), textParser.completionTokens())) {
      return false;
    }
    dataReceived();
    return true;
  }

  @Override
  public Object mapEvent(SseEvent event) {
    return CompletionChunkParser.parse(event.data());
  }

  @Override
  public void onEvent(Object mappedEvent) {
    CompletionChunk chunk = (CompletionChunk) mappedEvent;
    if (hasEnded() || isAnswerComplete && chunk.isEmpty()) {
      return;
    }
    if (status() != 200) {
      cancelAndEnd(AttemptOutcome.ERROR, "status " + status() + " with an event stream");
    } else if (chunk.error().isPresent()) {
      cancelAndEnd(AttemptOutcome.ERROR, chunk.error().get());
    } else {
      isAnswerComplete |= chunk.finishReason().isPresent();
      forward(chunk);
    }
  }

  @Override
  public void onComplete() {
    if (status() != 200) {
      EngineProtocol.ErrorReply error = EngineProtocol.parseErrorReply(status(), body());
      end(error.outcome(), error.stateMissing(), error.message());
    } else if (isAnswerComplete) {
      end(AttemptOutcome.OK, false, "");
    } else {
      end(AttemptOutcome.RESET, false, "the stream ended without a finish_reason");
    }
  }

  @Override
  public void onFailure(RequestFailure failure, String message) {
    if (isAnswerComplete) {
      // the whole answer was received; only the stream terminator is missing
      end(AttemptOutcome.OK, false, "");
    } else {
      end(EnginePort.outcomeOf(failure), false, message);
    }
  }
}
