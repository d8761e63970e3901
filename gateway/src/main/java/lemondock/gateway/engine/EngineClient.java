package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Optional;
import lemondock.dispatch.AttemptHandle;
import lemondock.dispatch.AttemptListener;
import lemondock.dispatch.DispatchedRequest;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EnginePort;
import lemondock.dispatch.OutgoingAttempt;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.OutgoingRequest;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.overload.StallMonitor;

/**
 * The dispatcher's port to engines with an OpenAI-compatible API; sends prefills, decodes and
 * aborts. Every attempt ends exactly once, with an outcome or by cancellation. Loop thread only.
 */
public final class EngineClient implements EnginePort<ObjectNode, JsonNode, CompletionChunk> {
  private static final int MAX_ABORT_ATTEMPTS = 3;
  private static final long ABORT_RETRY_DELAY_MICROS = 30_000;

  private final Loop loop;
  private final StallMonitor stallMonitor;
  private final HttpClient client;
  private final String userAgent;
  private final Optional<String> apiKey;
  private final long maxSilenceMicros;

  /** Creates a client; {@code userAgent} identifies this gateway to the engines. */
  public EngineClient(
      Loop loop,
      HttpClient client,
      GatewaySettings.Engines settings,
      String userAgent,
      StallMonitor stallMonitor) {
    this.stallMonitor = stallMonitor;
    this.loop = loop;
    this.client = client;
    this.userAgent = userAgent;
    this.apiKey = Optional.ofNullable(settings.apiKey());
    this.maxSilenceMicros = GatewaySettings.micros(settings.streamSilenceMs());
  }

  @Override
  public AttemptHandle prefill(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    InetSocketAddress address = endpoint.address();
    byte[] body = EngineProtocol.prefillRequest(request.prompt(), attempt.id());
    ByteBuffer httpRequest = post(address, EngineProtocol.COMPLETIONS_PATH, attempt.id(), body);
    return client.send(address, httpRequest, new PrefillCall(listener))::cancel;
  }

  @Override
  public AttemptHandle decode(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<ObjectNode> request,
      JsonNode transferParams,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    return sendDecode(endpoint, attempt, request, Optional.of(transferParams), listener);
  }

  @Override
  public AttemptHandle prefillAndDecode(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    return sendDecode(endpoint, attempt, request, Optional.empty(), listener);
  }

  private DecodeCall sendDecode(
      Endpoint endpoint,
      OutgoingAttempt attempt,
      DispatchedRequest<ObjectNode> request,
      Optional<JsonNode> transferParams,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    InetSocketAddress address = endpoint.address();
    byte[] body =
        EngineProtocol.decodeRequest(
            request.prompt(), attempt.id(), transferParams, request.maxAnswerTokens());
    OutgoingRequest httpRequest =
        new OutgoingRequest(
            post(address, EngineProtocol.COMPLETIONS_PATH, attempt.id(), body),
            attempt.latestSendMicros());
    DecodeCall call = new DecodeCall(listener, loop, stallMonitor, maxSilenceMicros);
    call.setHttpCall(client.send(address, httpRequest, request.clientShard(), call));
    return call;
  }

  /** Aborts an attempt and releases its reserved state; retried a few times if sending fails. */
  @Override
  public void release(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    abort(endpoint.address(), attemptId, MAX_ABORT_ATTEMPTS);
  }

  /** Releases immediately: each attempt has its own id, so that no other attempt is affected. */
  @Override
  public void releaseUncertain(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    release(endpoint, attemptId, prompt);
  }

  private void abort(InetSocketAddress address, String requestId, int attemptsLeft) {
    byte[] body = EngineProtocol.abortRequest(requestId);
    client.send(
        address,
        post(address, EngineProtocol.ABORT_PATH, requestId, body),
        new ResponseReceiver() {
          @Override
          public void onComplete() {}

          @Override
          public void onFailure(RequestFailure failure, String message) {
            if (attemptsLeft > 1) {
              loop.schedule(
                  ABORT_RETRY_DELAY_MICROS, () -> abort(address, requestId, attemptsLeft - 1));
            }
          }
        });
  }

  private ByteBuffer post(InetSocketAddress address, String path, String requestId, byte[] body) {
    Headers headers =
        Headers.of(
            "host",
            address.getHostString() + ":" + address.getPort(),
            "content-type",
            "application/json",
            "user-agent",
            userAgent,
            "x-request-id",
            requestId);
    apiKey.ifPresent(key -> headers.add("authorization", "Bearer " + key));
    return HttpEncoder.request("POST", path, headers, body);
  }
}
