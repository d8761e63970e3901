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
 * The ledger's port to engines that speak the OpenAI API: carries reads, writes and aborts. Every
 * attempt ends exactly once, by an outcome or by a cancel.
 */
public final class EngineClient implements EnginePort<ObjectNode, JsonNode, Chunk> {
  private static final int ABORT_TRIES = 3;
  private static final long ABORT_AGAIN = 30_000;

  private final Loop loop;
  private final StallMonitor lateness;
  private final HttpClient client;
  private final String agent;
  private final String apiKey;
  private final long silence;

  /** Makes a client; {@code agent} names this gateway to the engines. */
  public EngineClient(
      Loop loop,
      HttpClient client,
      GatewaySettings.Engines settings,
      String agent,
      StallMonitor lateness) {
    this.lateness = lateness;
    this.loop = loop;
    this.client = client;
    this.agent = agent;
    this.apiKey = settings.apiKey();
    this.silence = GatewaySettings.micros(settings.streamSilenceMs());
  }

  @Override
  public AttemptHandle prefill(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, Chunk> attempt) {
    InetSocketAddress to = server.address();
    return client.send(
            to,
            post(
                to,
                EngineProtocol.COMPLETIONS,
                attemptId,
                EngineProtocol.read(request.prompt(), attemptId)),
            new Reading(attempt))
        ::cancel;
  }

  @Override
  public AttemptHandle decode(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      JsonNode transfer,
      AttemptListener<JsonNode, Chunk> listener) {
    return write(server, attemptId, request, transfer, listener);
  }

  @Override
  public AttemptHandle prefillAndDecode(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      AttemptListener<JsonNode, Chunk> listener) {
    return write(server, attemptId, request, null, listener);
  }

  private Writing write(
      Endpoint server,
      String attemptId,
      DispatchedRequest<ObjectNode> request,
      JsonNode transfer,
      AttemptListener<JsonNode, Chunk> attempt) {
    InetSocketAddress to = server.address();
    Writing writing = new Writing(attempt);
    writing.sentAs(
        client.send(
            to,
            post(
                to,
                EngineProtocol.COMPLETIONS,
                attemptId,
                EngineProtocol.write(
                    request.prompt(), attemptId, transfer, request.maxAnswerTokens())),
            request.clientShard(),
            writing));
    return writing;
  }

  /** Lets go of a request and of what is kept for it; tried again if it cannot be said at once. */
  @Override
  public void release(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    abort(endpoint.address(), attemptId, ABORT_TRIES);
  }

  /**
   * Each attempt has a name of its own here, so that what it may have left is let go of at once.
   */
  @Override
  public void releaseUncertain(Endpoint endpoint, String attemptId, ObjectNode prompt) {
    release(endpoint, attemptId, prompt);
  }

  private void abort(InetSocketAddress at, String requestId, int tries) {
    client.send(
        at,
        post(at, EngineProtocol.ABORT, requestId, EngineProtocol.abort(requestId)),
        new ResponseReceiver() {
          @Override
          public void onComplete() {}

          @Override
          public void onFailure(RequestFailure failure, String what) {
            if (tries > 1) {
              loop.schedule(ABORT_AGAIN, () -> abort(at, requestId, tries - 1));
            }
          }
        });
  }

  private java.nio.ByteBuffer post(
      InetSocketAddress to, String path, String requestId, byte[] body) {
    Headers headers =
        Headers.of(
            "host",
            to.getHostString() + ":" + to.getPort(),
            "content-type",
            "application/json",
            "user-agent",
            agent,
            "x-request-id",
            requestId);
    if (apiKey != null) {
      headers.add("authorization", "Bearer " + apiKey);
    }
    return HttpEncoder.request("POST", path, headers, body);
  }

  private static final class Reading extends BufferingReceiver {
    private final AttemptListener<JsonNode, Chunk> attempt;

    Reading(AttemptListener<JsonNode, Chunk> attempt) {
      this.attempt = attempt;
    }

    @Override
    public void onComplete() {
      if (status() != 200) {
        EngineProtocol.Refusal refusal = EngineProtocol.refusal(status(), body());
        attempt.attemptEnded(refusal.ending(), refusal.stateMissing(), refusal.what());
        return;
      }
      EngineProtocol.ReadReply reply = EngineProtocol.readReply(body());
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
   * A write under way. A stream that was begun and then stays silent is broken after the settings'
   * time.
   */
  public final class Writing extends EngineCall<JsonNode, Chunk> {
    private boolean finished;
    private volatile DirectOutput directOutput;
    private final PlainPiece plain = new PlainPiece();

    private Writing(AttemptListener<JsonNode, Chunk> listener) {
      super(listener, loop, lateness, silence);
    }

    @Override
    protected String silenceMessage() {
      return "the stream stayed silent for " + silence / 1_000 + " ms";
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
          || !plain.take(data, length)
          || !output.offer(plain.text(), plain.answerTokens())) {
        return false;
      }
      dataReceived();
      return true;
    }

    @Override
    public Object mapEvent(SseEvent event) {
      return EngineProtocol.chunk(event.data());
    }

    @Override
    public void onEvent(Object mapped) {
      Chunk chunk = (Chunk) mapped;
      if (hasEnded()
          || finished && !chunk.hasOutput() && chunk.error() == null && chunk.answerTokens() < 0) {
        return;
      }
      if (status() != 200) {
        breakOff(AttemptOutcome.ERROR, "status " + status() + " with an event stream");
      } else if (chunk.error() != null) {
        breakOff(AttemptOutcome.ERROR, chunk.error());
      } else {
        finished |= chunk.finish() != null;
        forward(chunk);
      }
    }

    @Override
    public void onComplete() {
      if (status() != 200) {
        EngineProtocol.Refusal refusal = EngineProtocol.refusal(status(), body());
        end(refusal.ending(), refusal.stateMissing(), refusal.what());
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
