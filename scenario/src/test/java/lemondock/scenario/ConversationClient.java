package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.rpc.Mcp;

/**
 * A client on the JDK's own HTTP that a test drives step by step: it reads an answer message by
 * message, may break its connection and take the stream up again, and answers tools as it is told.
 * It shares no code with the program but the names of the protocol.
 */
final class ConversationClient {
  static final ObjectMapper MAPPER = new ObjectMapper();
  static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final int port;
  private final String session;

  /** Opens a session. */
  ConversationClient(int port) throws IOException, InterruptedException {
    this.port = port;
    HttpResponse<String> opened =
        HTTP.send(
            request(port, null)
                .POST(
                    HttpRequest.BodyPublishers.ofString(
                        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":{\"protocolVersion\":\"2025-11-25\"}}"))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    session = opened.headers().firstValue("mcp-session-id").orElseThrow();
  }

  private static HttpRequest.Builder request(int port, String session) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/mcp"))
            .header("Content-Type", "application/json")
            .header("Accept", "application/json, text/event-stream");
    return session == null ? builder : builder.header("Mcp-Session-Id", session);
  }

  /** Posts a message that is no call; gives the status. */
  int post(String json) throws IOException, InterruptedException {
    return HTTP.send(
            request(port, session).POST(HttpRequest.BodyPublishers.ofString(json)).build(),
            HttpResponse.BodyHandlers.discarding())
        .statusCode();
  }

  /** A tool's result as a client posts it, for the relayed call of that id. */
  static String result(JsonNode id, String text) {
    return "{\"jsonrpc\":\"2.0\",\"id\":"
        + id
        + ",\"result\":{\"content\":[{\"type\":\"text\",\"text\":\""
        + text
        + "\"}]}}";
  }

  /** Ends the session. */
  void delete() throws IOException, InterruptedException {
    HTTP.send(request(port, session).DELETE().build(), HttpResponse.BodyHandlers.discarding());
  }

  /** Calls a tool; {@code id} is JSON. */
  Answer call(String id, String tool, String prompt, List<String> tools)
      throws IOException, InterruptedException {
    return call(id, tool, prompt, tools, null);
  }

  /** The same under a key that all repeats of the call have. */
  Answer call(String id, String tool, String prompt, List<String> tools, String key)
      throws IOException, InterruptedException {
    ObjectNode root = MAPPER.createObjectNode().put("jsonrpc", "2.0").put("method", Mcp.TOOLS_CALL);
    root.set("id", MAPPER.readTree(id));
    ObjectNode params = root.putObject("params").put("name", tool);
    ObjectNode meta = params.putObject("_meta").put("progressToken", 7);
    if (key != null) {
      meta.put("lemondock/key", key);
    }
    ObjectNode arguments =
        params.putObject("arguments").put("prompt", prompt).put("conversation", "talk " + prompt);
    tools.forEach(
        t ->
            arguments
                .withArray("tools")
                .addObject()
                .put("name", t)
                .putObject("inputSchema")
                .put("type", "object"));
    return new Answer(
        request(port, session).POST(HttpRequest.BodyPublishers.ofString(root.toString())).build());
  }

  /** One answer as it comes. */
  final class Answer implements AutoCloseable {
    final List<Long> numbers = new ArrayList<>();
    private String last = "";
    private InputStream in;
    private BufferedReader lines;

    /** One JSON text instead of a stream, as for what is refused at once. */
    private boolean plain;

    Answer(HttpRequest first) throws IOException, InterruptedException {
      connect(first);
    }

    private void connect(HttpRequest request) throws IOException, InterruptedException {
      HttpResponse<InputStream> response =
          HTTP.send(request, HttpResponse.BodyHandlers.ofInputStream());
      if (response.statusCode() != 200) {
        throw new IOException("status " + response.statusCode());
      }
      in = response.body();
      plain =
          !response.headers().firstValue("content-type").orElse("").startsWith("text/event-stream");
      lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    }

    /** The next message; null if the stream has ended. */
    JsonNode next() throws IOException {
      if (plain) {
        String line = lines.readLine();
        return line == null ? null : MAPPER.readTree(line);
      }
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith("id: ")) {
          id(line);
        } else if (line.startsWith("data: ") && line.length() > 6) {
          return MAPPER.readTree(line.substring(6));
        }
      }
      return null;
    }

    /** Passes over what comes before the next tool call; gives that. */
    JsonNode relayed() throws IOException {
      JsonNode message = next();
      while (!message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
        message = next();
      }
      return message;
    }

    /** Reads to the end; gives the last message, null if there was none. */
    JsonNode end() throws IOException {
      JsonNode last = null;
      for (JsonNode message = next(); message != null; message = next()) {
        last = message;
      }
      return last;
    }

    /** Reads until the stream has said an id, so that it can be taken up again. */
    void primed() throws IOException {
      while (numbers.isEmpty()) {
        String line = lines.readLine();
        if (line == null) {
          throw new IOException("the stream ended before its first id");
        }
        if (line.startsWith("id: ")) {
          id(line);
        }
      }
    }

    private void id(String line) {
      last = line.substring(4);
      numbers.add(Long.parseLong(last.substring(last.lastIndexOf('-') + 1)));
    }

    /** Breaks the connection. */
    @Override
    public void close() throws IOException {
      in.close();
    }

    /** Takes the stream up behind the last event seen, on another connection. */
    void resume() throws IOException, InterruptedException {
      in.close();
      connect(request(port, session).header("Last-Event-ID", last).GET().build());
    }
  }
}
