package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import lemondock.dispatch.AttemptHandle;
import lemondock.dispatch.AttemptListener;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.DispatchedRequest;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EngineCall;
import lemondock.dispatch.EnginePort;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.BufferingReceiver;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;

/**
 * The dispatcher's port to engines that speak the OpenAI API: carries reads, writes and aborts.
 * Every attempt ends exactly once, by an outcome or by a cancel.
 */
public final class EngineClient implements EnginePort<ObjectNode, JsonNode, CompletionChunk> {
  private static final int MAX_ABORT_ATTEMPTS = 3;
  private static final long ABORT_RETRY_DELAY_MICROS = 30_000;

  private final Loop loop;
  private final StallMonitor stallMonitor;
  private final HttpClient client;
  private final String userAgent;
  private final String apiKey;
  private final long streamIdleMicros;

  /** Makes a client; {@code userAgent} names this gateway to the engines. */
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
    this.apiKey = settings.apiKey();
    this.streamIdleMicros = GatewaySettings.micros(settings.streamSilenceMs());
  }

  @Override
  public AttemptHandle prefill(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, CompletionChunk> attempt) {
    InetSocketAddress address = server.address();
    return client.send(
            address,
            post(
                address,
                EngineProtocol.COMPLETIONS_PATH,
                attemptId,
                EngineProtocol.readRequest(request.prompt(), attemptId)),
            new Reading(attempt))
        ::cancel;
  }

  @Override
  public AttemptHandle decode(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      JsonNode transfer,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    return write(server, attemptId, request, transfer, listener);
  }

  @Override
  public AttemptHandle prefillAndDecode(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, CompletionChunk> listener) {
    return write(server, attemptId, request, null, listener);
  }

  private Writing write(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      JsonNode transfer,
      AttemptListener<JsonNode, CompletionChunk> attempt) {
    InetSocketAddress address = server.address();
    Writing writing = new Writing(attempt);
    writing.sentAs(
        client.send(
            address,
            post(
                address,
                EngineProtocol.COMPLETIONS_PATH,
                attemptId,
                EngineProtocol.writeRequest(
                    request.prompt(), attemptId, transfer, request.maxAnswerTokens())),
            request.clientShard(),
            writing));
    return writing;
  }

  /** Releases a request and what is kept for it; retried if it cannot be sent at once. */
  @Override
  public void release(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    abort(endpoint.address(), attemptId, MAX_ABORT_ATTEMPTS);
  }

  /** Each attempt has a name of its own here, so that what it may have left is released at once. */
  @Override
  public void releaseUncertain(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    release(endpoint, attemptId, prompt);
  }

  private void abort(InetSocketAddress at, String requestId, int attemptsLeft) {
    client.send(
        at,
        post(at, EngineProtocol.ABORT_PATH, requestId, EngineProtocol.abortRequest(requestId)),
        new ResponseReceiver() {
          @Override
          public void onComplete() {}

          @Override
          public void onFailure(RequestFailure failure, String what) {
            if (attemptsLeft > 1) {
              loop.schedule(ABORT_RETRY_DELAY_MICROS, () -> abort(at, requestId, attemptsLeft - 1));
            }
          }
        });
  }

  private java.nio.ByteBuffer post(
      InetSocketAddress address, String path, String requestId, byte[] body) {
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
    if (apiKey != null) {
      headers.add("authorization", "Bearer " + apiKey);
    }
    return HttpEncoder.request("POST", path, headers, body);
  }

  private static final class Reading extends BufferingReceiver {
    private final AttemptListener<JsonNode, CompletionChunk> attempt;

    Reading(AttemptListener<JsonNode, CompletionChunk> attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onComplete() {
      if (status() != 200) {
        EngineProtocol.ErrorReply refusal = EngineProtocol.parseErrorReply(status(), body());
        attempt.attemptEnded(refusal.outcome(), refusal.stateMissing(), refusal.message());
        return;
      }
      EngineProtocol.ReadReply reply = EngineProtocol.parseReadReply(body());
      if (reply.problem() != null) {
        attempt.attemptEnded(AttemptOutcome.ERROR, false, reply.problem());
      } else {
        attempt.prefillCompleted(reply.transfer(), reply.cachedTokens());
      }
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      attempt.attemptEnded(EnginePort.outcomeOf(failure), false, what);
    }
  }

  /**
   * A write in flight. A stream that was begun and then stays silent is broken after the settings'
   * time.
   */
  public final class Writing extends EngineCall<JsonNode, CompletionChunk> {
    private boolean finished;
    private volatile DirectOutput directOutput;
    private final TextEventParser plain = new TextEventParser();

    private Writing(AttemptListener<JsonNode, CompletionChunk> listener) {
      super(listener, loop, stallMonitor, streamIdleMicros);
    }

    @Override
    protected String silenceMessage() {
      return "the stream stayed silent for " + streamIdleMicros / 1_000 + " ms";
    }

    @Override
    protected void onEnd() {
      directOutput = null;
    }

    /** What is more than plain text still comes as an event. */
    @Override
    public void setDirectOutput(DirectOutput output) {
      directOutput = output;
    }

    @Override
    public boolean consumeInPlace(byte[] data, int length) {
      DirectOutput output = directOutput;
      if (output == null
          || !plain.parse(data, length)
          || !output.offer(plain.text(), plain.completionTokens())) {
        return false;
      }
      dataReceived();
      return true;
    }

    @Override
    public Object mapEvent(SseEvent event) {
      return EngineProtocol.parseChunk(event.data());
    }

    @Override
    public void onEvent(Object mapped) {
      CompletionChunk chunk = (CompletionChunk) mapped;
      if (hasEnded()
          || finished
              && !chunk.hasOutput()
              && chunk.error() == null
              && chunk.completionTokens() < 0) {
        return;
      }
      if (status() != 200) {
        breakOff(AttemptOutcome.ERROR, "status " + status() + " with an event stream");
      } else if (chunk.error() != null) {
        breakOff(AttemptOutcome.ERROR, chunk.error());
      } else {
        finished |= chunk.finishReason() != null;
        forward(chunk);
      }
    }

    @Override
    public void onComplete() {
      if (status() != 200) {
        EngineProtocol.ErrorReply refusal = EngineProtocol.parseErrorReply(status(), body());
        end(refusal.outcome(), refusal.stateMissing(), refusal.message());
      } else if (finished) {
        end(AttemptOutcome.OK, false, "");
      } else {
        end(AttemptOutcome.RESET, false, "the stream ended without a finish_reason");
      }
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      if (finished) {
        // all of the answer had come; only the closing mark was lost
        end(AttemptOutcome.OK, false, "");
      } else {
        end(EnginePort.outcomeOf(failure), false, what);
      }
    }
  }
}
