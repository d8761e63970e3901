package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import lemondock.net.http.HttpRequest;

/** A chat completion request, as parsed by an engine. */
final class EngineRequest {
  private static final int CHARS_PER_TOKEN = 4;

  private final JsonNode body;
  private final TrafficSource source;
  private final int promptTokens;

  EngineRequest(HttpRequest http, JsonNode body) {
    this.body = body;
    String id =
        http.headers()
            .firstValue("x-request-id")
            .orElseGet(() -> body.path("request_id").asText(""));
    this.source =
        new TrafficSource(
            id, AnswerScript.mark(body.path("messages")), TrafficSource.parseGateway(http));
    int chars = 0;
    for (JsonNode message : messages()) {
      chars += text(message).length();
    }
    this.promptTokens = Math.max(1, tokens(chars));
  }

  static int tokens(int chars) {
    return chars / CHARS_PER_TOKEN;
  }

  static String text(JsonNode message) {
    return message.path("content").asText("");
  }

  String id() {
    return source.requestId();
  }

  TrafficSource source() {
    return source;
  }

  JsonNode body() {
    return body;
  }

  JsonNode messages() {
    return body.path("messages");
  }

  int promptTokens() {
    return promptTokens;
  }

  int maxTokens() {
    return body.path("max_tokens").asInt(Integer.MAX_VALUE);
  }

  /** Whether the request is a prefill only, whose state is reserved for a writer. */
  boolean isPrefill() {
    return transferParams().path("do_remote_decode").asBoolean(false);
  }

  /** Whether the prompt's state has to be fetched from another engine. */
  boolean hasRemoteState() {
    return transferParams().path("do_remote_prefill").asBoolean(false);
  }

  /** The {@code kv_transfer_params}, which locate a remote state; a missing node if absent. */
  JsonNode transferParams() {
    return body.path("kv_transfer_params");
  }
}
