package lemondock.faultinjection;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;

/** Formats the HTTP requests that clients send to the platform, and reads what they state. */
final class ChatRequest {
  private static final String MAX_TOKENS_ENTRY = "max_out=";

  private ChatRequest() {}

  /**
   * Formats the chat completion request of a call for an answer of the usual length.
   *
   * @param promptCharacters length of the prompt
   * @param prefixKey calls with the same number share the beginning of their prompts
   */
  static String format(ClientCall call, int promptCharacters, int prefixKey) {
    return format(call, promptCharacters, prefixKey, StreamPace.USUAL.maxAnswerTokens());
  }

  /**
   * Formats the chat completion request of a call.
   *
   * @param promptCharacters length of the prompt
   * @param prefixKey calls with the same number share the beginning of their prompts
   * @param maxAnswerTokens the stated maximum length of the answer
   */
  static String format(ClientCall call, int promptCharacters, int prefixKey, int maxAnswerTokens) {
    String body =
        "{\"model\":\"chat\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\""
            + "x".repeat(promptCharacters)
            + "\"}]}";
    return "POST /v1/chat/completions HTTP/1.1\r\nhost: origin.svc\r\nx-request-id: "
        + call.id()
        + "\r\nx-class: "
        + (call.effect() == CallEffect.ONCE ? "pay" : "chat")
        + "\r\nx-key: k"
        + prefixKey
        + "\r\nx-deadline-ms: "
        + TimeUnit.MICROSECONDS.toMillis(call.deadlineMicros())
        + "\r\nx-extras: "
        + MAX_TOKENS_ENTRY
        + maxAnswerTokens
        + "\r\ncontent-length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** The maximum length of the answer that a request states, in tokens. */
  static int maxAnswerTokens(HttpMessageReader.Message request) {
    return Arrays.stream(request.header("x-extras").orElse("").split(","))
        .filter(entry -> entry.startsWith(MAX_TOKENS_ENTRY))
        .mapToInt(entry -> Integer.parseInt(entry.substring(MAX_TOKENS_ENTRY.length())))
        .findFirst()
        .orElse(Integer.MAX_VALUE);
  }
}
