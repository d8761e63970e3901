package lemondock.gateway.core;

import java.util.Optional;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.RequestListener;
import lemondock.gateway.accounting.CallMetrics;
import lemondock.gateway.answer.Answer;
import lemondock.gateway.engine.CompletionChunk;

/** Passes the events of one request to the answer that it belongs to. */
final class AnswerRequestListener implements RequestListener<CompletionChunk>, DirectOutput {
  /**
   * Maximum number of characters of a piece that bypasses the loop: its event must fit into the
   * space that {@link CallSink#acceptsDirectOutput} guarantees.
   */
  private static final int MAX_DIRECT_CHARS = 2_000;

  private final Answer answer;
  private final CallMetrics metrics;
  private final CallSink sink;

  AnswerRequestListener(Answer answer, CallMetrics metrics, CallSink sink) {
    this.answer = answer;
    this.metrics = metrics;
    this.sink = sink;
  }

  @Override
  public void chunk(CompletionChunk chunk) {
    synchronized (sink.outputLock()) {
      answer.onChunk(chunk);
    }
  }

  @Override
  public Optional<DirectOutput> directOutput() {
    return Optional.of(this);
  }

  /**
   * Called on an I/O thread. The first token of a turn is not accepted here: it must pass through
   * the loop, where the metrics and the router are notified of it.
   */
  @Override
  public boolean offer(CharSequence text, int answerTokens) {
    if (text.length() > MAX_DIRECT_CHARS) {
      return false;
    }
    synchronized (sink.outputLock()) {
      return metrics.inTurn() && sink.acceptsDirectOutput() && answer.onText(text, answerTokens);
    }
  }

  @Override
  public void completed() {
    synchronized (sink.outputLock()) {
      answer.onRequestCompleted();
    }
  }

  @Override
  public void interrupted(String cause) {
    synchronized (sink.outputLock()) {
      answer.onStreamInterrupted(cause);
    }
  }

  @Override
  public void rejected(long retryAfterMicros) {
    synchronized (sink.outputLock()) {
      answer.onRejected(retryAfterMicros);
    }
  }

  @Override
  public void failed() {
    synchronized (sink.outputLock()) {
      answer.onFailed();
    }
  }
}
