package lemondock.gateway.core;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import lemondock.gateway.answer.AnswerTurn;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.ToolCall;

/** The body of a chat completion request as engines take it. */
final class CompletionRequestBody {
  /** Tokens of later turns are not counted by the tokenizer on the loop, but estimated. */
  private static final int CHARS_PER_TOKEN = 4;

  private CompletionRequestBody() {}

  /**
   * The messages of a prompt, the turns after it and, if it is not empty, a partial answer, which
   * vLLM's published switches have the engine continue.
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

  /** Tokens of the whole prompt; what came after the client's own is estimated. */
  static int estimatedTokens(Prompt prompt, List<AnswerTurn> turns, String partial) {
    int addedChars = partial.length();
    for (AnswerTurn turn : turns) {
      addedChars += chars(turn);
    }
    return prompt.size().tokens() + addedChars / CHARS_PER_TOKEN;
  }

  private static int chars(AnswerTurn turn) {
    return turn.text().length()
        + turn.calls().stream().mapToInt(call -> call.arguments().length()).sum()
        + turn.results().stream().mapToInt(result -> result.text().length()).sum();
  }
}
