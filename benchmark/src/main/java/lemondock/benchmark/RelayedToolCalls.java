package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import lemondock.scenario.McpClient;
import lemondock.scenario.ToolBehaviour;
import lemondock.scenario.ToolCallRequest;

/** Sends calls with one tool call each through a gateway, one by one. Used on one event loop. */
final class RelayedToolCalls {
  private static final int ANSWER_WORDS = 3;
  private static final int MAX_TOKENS = 100;

  private final McpClient client;
  private final String namePrefix;
  private final CountDownLatch done;
  private long remaining;
  private int started;

  /** Prepares as many calls as the count of {@code done}; each call that ends counts it down. */
  RelayedToolCalls(McpClient client, String namePrefix, CountDownLatch done) {
    this.client = client;
    this.namePrefix = namePrefix;
    this.done = done;
    this.remaining = done.getCount();
  }

  /** Starts the next call; each further one starts when the previous one has ended. */
  void start() {
    if (remaining == 0) {
      return;
    }
    remaining--;
    ToolCallRequest request = request(namePrefix + started);
    started++;
    client.open(
        opened ->
            client.call(
                request,
                ended -> {
                  done.countDown();
                  start();
                }));
  }

  private static ToolCallRequest request(String name) {
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    ToolCallPrompt.addTo(messages, name, ANSWER_WORDS);
    return new ToolCallRequest(
        RequestBodies.DEFAULT_TOOL,
        0,
        messages,
        null,
        List.of(ToolCallPrompt.TOOL),
        ToolBehaviour.ANSWER,
        0,
        MAX_TOKENS,
        name,
        false);
  }
}
