package lemondock.gateway.core;

import java.util.Optional;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.RequestListener;
import lemondock.gateway.accounting.CallMetrics;
import lemondock.gateway.answer.Answer;
import lemondock.gateway.engine.CompletionChunk;

/** Hands the events of one request to the answer that it is a part of. */
final class AnswerRequestListener implements RequestListener<CompletionChunk>, DirectOutput {
  /**
   * Characters of a piece that is written without the loop: its event must fit what {@link
   * CallSink#acceptsDirectOutput} leaves room for.
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
   * On an I/O thread. The first token of a turn goes through the loop: the metrics and the router
   * hear of it there.
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
      answer.onStreamBroken(cause);
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
