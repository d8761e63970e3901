package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import lemondock.dispatch.AttemptListener;
import lemondock.dispatch.EnginePort;
import lemondock.net.http.BufferingReceiver;
import lemondock.net.http.RequestFailure;
import lemondock.policy.AttemptOutcome;

/** A prefill in flight. Loop thread only. */
final class PrefillCall extends BufferingReceiver {
  private final AttemptListener<JsonNode, CompletionChunk> listener;

  PrefillCall(AttemptListener<JsonNode, CompletionChunk> listener) {
    this.listener = listener;
  }

  @Override
  public void onComplete() {
    if (status() != 200) {
      EngineProtocol.ErrorReply error = EngineProtocol.parseErrorReply(status(), body());
      listener.attemptEnded(error.outcome(), error.stateMissing(), error.message());
      return;
    }
    PrefillReply reply = EngineProtocol.parsePrefillReply(body());
    if (reply instanceof PrefillReply.Completed completed) {
      listener.prefillCompleted(completed.transferParams(), completed.cachedTokens());
    } else if (reply instanceof PrefillReply.Malformed malformed) {
      listener.attemptEnded(AttemptOutcome.ERROR, false, malformed.problem());
    }
  }

  @Override
  public void onFailure(RequestFailure failure, String message) {
    listener.attemptEnded(EnginePort.outcomeOf(failure), false, message);
  }
}
