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
 * An MCP client on the JDK's HTTP client that a test drives step by step: it reads an answer
 * message by message, can break its connection and resume the stream, and posts the tool results
 * that the test gives it. It shares only the protocol's names with the product code. Calls block
 * the calling thread.
 */
final class ConversationClient {
  static final ObjectMapper MAPPER = new ObjectMapper();
  static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final int port;
  private final String session;

  /** Opens a session at the gateway on this loopback port. */
  ConversationClient(int port) throws IOException, InterruptedException {
    this.port = port;
    HttpResponse<String> response =
        HTTP.send(
            request(port, null)
                .POST(
                    HttpRequest.BodyPublishers.ofString(
                        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":{\"protocolVersion\":\"2025-11-25\"}}"))
                .build(),
            HttpResponse.BodyHandlers.ofString());
    session = response.headers().firstValue("mcp-session-id").orElseThrow();
  }

  private static HttpRequest.Builder request(int port, String session) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/mcp"))
            .header("Content-Type", "application/json")
            .header("Accept", "application/json, text/event-stream");
    return session == null ? builder : builder.header("Mcp-Session-Id", session);
  }

  /** Posts a message other than a call and returns the HTTP status. */
  int post(String json) throws IOException, InterruptedException {
    return HTTP.send(
            request(port, session).POST(HttpRequest.BodyPublishers.ofString(json)).build(),
            HttpResponse.BodyHandlers.discarding())
        .statusCode();
  }

  /** The message with which a client answers the relayed tool call {@code id}. */
  static String toolResult(JsonNode id, String text) {
    return "{\"jsonrpc\":\"2.0\",\"id\":"
        + id
        + ",\"result\":{\"content\":[{\"type\":\"text\",\"text\":\""
        + text
        + "\"}]}}";
  }

  /** Ends the session. */
  void deleteSession() throws IOException, InterruptedException {
    HTTP.send(request(port, session).DELETE().build(), HttpResponse.BodyHandlers.discarding());
  }

  /** Calls a tool; {@code id} is the JSON text of the request id. */
  Answer call(String id, String tool, String prompt, List<String> tools)
      throws IOException, InterruptedException {
    return call(id, tool, prompt, tools, null);
  }

  /** Calls a tool under an idempotency key, which is the same for all repeats of the call. */
  Answer call(String id, String tool, String prompt, List<String> tools, String idempotencyKey)
      throws IOException, InterruptedException {
    ObjectNode root = MAPPER.createObjectNode().put("jsonrpc", "2.0").put("method", Mcp.TOOLS_CALL);
    root.set("id", MAPPER.readTree(id));
    ObjectNode params = root.putObject("params").put("name", tool);
    ObjectNode meta = params.putObject("_meta").put("progressToken", 7);
    if (idempotencyKey != null) {
      meta.put("lemondock/key", idempotencyKey);
    }
    ObjectNode arguments =
        params.putObject("arguments").put("prompt", prompt).put("conversation", "talk " + prompt);
    tools.forEach(
        toolName ->
            arguments
                .withArray("tools")
                .addObject()
                .put("name", toolName)
                .putObject("inputSchema")
                .put("type", "object"));
    return new Answer(
        request(port, session).POST(HttpRequest.BodyPublishers.ofString(root.toString())).build());
  }

  /** An answer that is read while it arrives. */
  final class Answer implements AutoCloseable {
    final List<Long> eventNumbers = new ArrayList<>();
    private String lastEventId = "";
    private InputStream body;
    private BufferedReader lines;

    /** The body is one JSON message, not a stream; calls that are rejected at once get this. */
    private boolean isSingleJson;

    Answer(HttpRequest request) throws IOException, InterruptedException {
      connect(request);
    }

    private void connect(HttpRequest request) throws IOException, InterruptedException {
      HttpResponse<InputStream> response =
          HTTP.send(request, HttpResponse.BodyHandlers.ofInputStream());
      if (response.statusCode() != 200) {
        throw new IOException("expected HTTP status 200, got " + response.statusCode());
      }
      body = response.body();
      isSingleJson =
          !response.headers().firstValue("content-type").orElse("").startsWith("text/event-stream");
      lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
    }

    /** Returns the next message, or null if the stream has ended. */
    JsonNode next() throws IOException {
      if (isSingleJson) {
        String line = lines.readLine();
        return line == null ? null : MAPPER.readTree(line);
      }
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith("id: ")) {
          recordEventId(line);
        } else if (line.startsWith("data: ") && line.length() > 6) {
          return MAPPER.readTree(line.substring(6));
        }
      }
      return null;
    }

    /** Skips messages up to the next relayed tool call and returns that. */
    JsonNode nextToolCall() throws IOException {
      JsonNode message = next();
      while (!message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
        message = next();
      }
      return message;
    }

    /** Reads to the end and returns the last message, or null if there was none. */
    JsonNode readToEnd() throws IOException {
      JsonNode last = null;
      for (JsonNode message = next(); message != null; message = next()) {
        last = message;
      }
      return last;
    }

    /** Reads up to the first event id, after which the stream can be resumed. */
    void readFirstEventId() throws IOException {
      while (eventNumbers.isEmpty()) {
        String line = lines.readLine();
        if (line == null) {
          throw new IOException("the stream ended before its first event id");
        }
        if (line.startsWith("id: ")) {
          recordEventId(line);
        }
      }
    }

    private void recordEventId(String line) {
      lastEventId = line.substring(4);
      eventNumbers.add(Long.parseLong(lastEventId.substring(lastEventId.lastIndexOf('-') + 1)));
    }

    /** Closes the connection; the session stays open. */
    @Override
    public void close() throws IOException {
      body.close();
    }

    /** Resumes the stream after the last event received, on a new connection. */
    void resume() throws IOException, InterruptedException {
      body.close();
      connect(request(port, session).header("Last-Event-ID", lastEventId).GET().build());
    }
  }
}
