package lemondock.gateway.core;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import lemondock.gateway.answer.AnswerTurn;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.ToolCall;

/** Builds the body of a chat completion request to an engine. */
final class CompletionRequestBody {
  /**
   * Characters per token for text after the client's prompt. Its tokens are estimated, because the
   * tokenizer must not run on the loop.
   */
  private static final int CHARS_PER_TOKEN = 4;

  private CompletionRequestBody() {}

  /**
   * Builds the body from the messages of a prompt, the turns after it and a partial answer. If the
   * partial answer is not empty, documented options of vLLM make the engine continue it.
   */
  static ObjectNode of(String model, Prompt prompt, List<AnswerTurn> turns, String partial) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("model", model);
    ArrayNode messages = body.putArray("messages").addAll(prompt.messages());
    turns.forEach(turn -> addTurn(turn, messages));
    if (!partial.isEmpty()) {
      messages.addObject().put("role", "assistant").put("content", partial);
      body.put("continue_final_message", true).put("add_generation_prompt", false);
    }
    prompt.tools().ifPresent(tools -> body.set("tools", tools));
    return body;
  }

  private static void addTurn(AnswerTurn turn, ArrayNode messages) {
    ObjectNode assistant =
        messages.addObject().put("role", "assistant").put("content", turn.text());
    ArrayNode toolCalls = assistant.putArray("tool_calls");
    for (ToolCall toolCall : turn.calls()) {
      toolCalls
          .addObject()
          .put("id", toolCall.id())
          .put("type", "function")
          .putObject("function")
          .put("name", toolCall.name())
          .put("arguments", toolCall.arguments());
    }
    for (int i = 0; i < turn.calls().size(); i++) {
      messages
          .addObject()
          .put("role", "tool")
          .put("tool_call_id", turn.calls().get(i).id())
          .put("content", turn.results().get(i).text());
    }
  }

  /** Tokens of the whole prompt; the part after the client's own prompt is estimated. */
  static int estimatedTokens(Prompt prompt, List<AnswerTurn> turns, String partial) {
    int addedChars = partial.length();
    for (AnswerTurn turn : turns) {
      addedChars += charCount(turn);
    }
    return prompt.size().tokens() + addedChars / CHARS_PER_TOKEN;
  }

  private static int charCount(AnswerTurn turn) {
    return turn.text().length()
        + turn.calls().stream().mapToInt(call -> call.arguments().length()).sum()
        + turn.results().stream().mapToInt(result -> result.text().length()).sum();
  }
}
