package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;

/**
 * Makes the calls of {@link RelayedToolCalls} from a client that connects directly to the engine,
 * without a gateway.
 */
final class DirectToolCalls {
  private static final int ANSWER_WORDS = 3;
  private static final int MAX_TOKENS = 100;
  private static final String FIRST_TURN_TEXT = " a0 a1 a2 a3";
  private static final String TOOL_CALL_ID = "call_0_0";

  private final HttpClient http;
  private final InetSocketAddress engine;
  private final String namePrefix;
  private final CountDownLatch done;
  private long remaining;
  private int started;

  /**
   * Prepares as many calls as the count of the latch.
   *
   * @param namePrefix prefix of the names that identify the calls in the engine's reports
   * @param done counted down when a call completes
   */
  DirectToolCalls(
      HttpClient http, InetSocketAddress engine, String namePrefix, CountDownLatch done) {
    this.http = http;
    this.engine = engine;
    this.namePrefix = namePrefix;
    this.done = done;
    this.remaining = done.getCount();
  }

  /** Starts the next call; each later call starts when the previous one has ended. */
  void start() {
    if (remaining == 0) {
      return;
    }
    remaining--;
    ObjectNode body = firstTurn(namePrefix + started);
    started++;
    sendTurn(
        body,
        () -> {
          addToolResult((ArrayNode) body.get("messages"));
          sendTurn(body, this::endCall);
        });
  }

  private void endCall() {
    done.countDown();
    start();
  }

  private static ObjectNode firstTurn(String name) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("model", "m")
            .put("stream", true)
            .put("max_tokens", MAX_TOKENS)
            .put("request_id", name);
    ToolCallPrompt.addTo(body.putArray("messages"), name, ANSWER_WORDS);
    body.putArray("tools")
        .addObject()
        .put("type", "function")
        .putObject("function")
        .put("name", ToolCallPrompt.TOOL);
    return body;
  }

  /** Adds the turn that calls the tool, exactly as the engine wrote it, and the tool's result. */
  private static void addToolResult(ArrayNode messages) {
    ObjectNode callingTurn =
        messages.addObject().put("role", "assistant").put("content", FIRST_TURN_TEXT);
    callingTurn
        .putArray("tool_calls")
        .addObject()
        .put("id", TOOL_CALL_ID)
        .put("type", "function")
        .putObject("function")
        .put("name", ToolCallPrompt.TOOL)
        .put("arguments", "{}");
    messages
        .addObject()
        .put("role", "tool")
        .put("tool_call_id", TOOL_CALL_ID)
        .put("content", "did-stock");
  }

  private void sendTurn(ObjectNode body, Runnable onCompletion) {
    Headers headers =
        Headers.of("host", "x", "user-agent", "direct", "content-type", "application/json");
    byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
    http.send(
        engine,
        HttpEncoder.request("POST", "/v1/chat/completions", headers, bytes),
        new CompletionReceiver(onCompletion));
  }

  /** Runs an action when the response is complete. */
  private record CompletionReceiver(Runnable onCompletion) implements ResponseReceiver {
    @Override
    public void onComplete() {
      onCompletion.run();
    }

    @Override
    public void onFailure(RequestFailure failure, String reason) {
      // calls that never end are reported by the thread that waits on the latch
      System.err.println("request to the engine failed: " + failure + ", " + reason);
    }
  }
}
