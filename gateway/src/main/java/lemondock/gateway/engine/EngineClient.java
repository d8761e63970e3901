package lemondock.gateway.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import lemondock.dispatch.AttemptHandle;
import lemondock.dispatch.AttemptListener;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.DispatchedRequest;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EnginePort;
import lemondock.dispatch.StreamIdleTimeout;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.sse.SseEvent;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;

/**
 * The ledger's port to engines that speak the OpenAI API: carries reads, writes and aborts. Every
 * read and write ends by exactly one {@code attemptEnded} or a cancel.
 */
public final class EngineClient implements EnginePort<ObjectNode, JsonNode, CompletionChunk> {
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
      AttemptListener<JsonNode, CompletionChunk> attempt) {
    InetSocketAddress to = server.address();
    return client.send(
            to,
            post(
                to,
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
    InetSocketAddress to = server.address();
    Writing writing = new Writing(attempt);
    writing.call =
        client.send(
            to,
            post(
                to,
                EngineProtocol.COMPLETIONS_PATH,
                attemptId,
                EngineProtocol.writeRequest(
                    request.prompt(), attemptId, transfer, request.maxAnswerTokens())),
            request.clientShard(),
            writing);
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
        post(at, EngineProtocol.ABORT_PATH, requestId, EngineProtocol.abortRequest(requestId)),
        new HttpClient.Receiver() {
          @Override
          public void done() {}

          @Override
          public void failed(HttpClient.Failure failure, String what) {
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

  private static final class Reading extends HttpClient.Keeping {
    private final AttemptListener<JsonNode, CompletionChunk> attempt;

    Reading(AttemptListener<JsonNode, CompletionChunk> attempt) {
      this.attempt = attempt;
    }

    @Override
    public void done() {
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
    public void failed(HttpClient.Failure failure, String what) {
      attempt.attemptEnded(EnginePort.outcomeOf(failure), false, what);
    }
  }

  /**
   * A write under way. A stream that was begun and then stays silent is broken after the settings'
   * time.
   */
  public final class Writing extends HttpClient.Keeping implements AttemptHandle {
    private final AttemptListener<JsonNode, CompletionChunk> attempt;
    private HttpClient.Call call;
    private boolean finished;
    private boolean over;
    private boolean watched;
    private final StreamIdleTimeout quiet =
        new StreamIdleTimeout(loop, lateness, silence, this::silent);
    private volatile DirectOutput directOutput;
    private final TextEventParser plain = new TextEventParser();

    private Writing(AttemptListener<JsonNode, CompletionChunk> attempt) {
      this.attempt = attempt;
    }

    @Override
    public void pause() {
      quiet.pause();
      call.pause();
    }

    @Override
    public void resume() {
      quiet.resume();
      call.resume();
    }

    /** What is more than plain text still comes as an event. */
    @Override
    public void setDirectOutput(DirectOutput output) {
      directOutput = output;
    }

    @Override
    public boolean direct(byte[] data, int length) {
      DirectOutput output = directOutput;
      if (output == null
          || !plain.parse(data, length)
          || !output.offer(plain.text(), plain.completionTokens())) {
        return false;
      }
      quiet.dataReceived();
      return true;
    }

    @Override
    public void cancel() {
      over();
      call.cancel();
    }

    /**
     * Nothing may hold it any more: a timer that is left to run out would keep the whole call until
     * then.
     */
    private void over() {
      directOutput = null;
      over = true;
      quiet.stop();
    }

    @Override
    public Object map(SseEvent event) {
      return EngineProtocol.parseChunk(event.data());
    }

    @Override
    public void event(Object mapped) {
      CompletionChunk chunk = (CompletionChunk) mapped;
      if (over
          || finished
              && !chunk.hasOutput()
              && chunk.error() == null
              && chunk.completionTokens() < 0) {
        return;
      }
      quiet.dataReceived();
      if (status() != 200 || chunk.error() != null) {
        call.cancel();
        end(
            AttemptOutcome.ERROR,
            status() != 200 ? "status " + status() + " with an event stream" : chunk.error());
        return;
      }
      finished |= chunk.finishReason() != null;
      attempt.chunkReceived(chunk);
      if (!watched && !over && chunk.hasOutput()) {
        watched = true;
        quiet.start();
      }
    }

    private void silent() {
      call.cancel();
      end(AttemptOutcome.RESET, "the stream stayed silent for " + silence / 1_000 + " ms");
    }

    @Override
    public void done() {
      if (status() != 200) {
        EngineProtocol.ErrorReply refusal = EngineProtocol.parseErrorReply(status(), body());
        over();
        attempt.attemptEnded(refusal.outcome(), refusal.stateMissing(), refusal.message());
      } else if (finished) {
        end(AttemptOutcome.OK, "");
      } else {
        end(AttemptOutcome.RESET, "the stream ended without a finish_reason");
      }
    }

    @Override
    public void failed(HttpClient.Failure failure, String what) {
      if (finished) {
        end(AttemptOutcome.OK, "");
        // all of the answer had come; only the closing mark was lost

      } else {
        end(EnginePort.outcomeOf(failure), what);
      }
    }

    private void end(AttemptOutcome ending, String what) {
      if (!over) {
        over();
        attempt.attemptEnded(ending, false, what);
      }
    }
  }
}
