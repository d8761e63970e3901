package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Derives an emulated engine's answer from the request alone, so that every writer gives the same
 * answer and a client can check every token. A prompt may ask for a length ({@code answer in N
 * words of M letters}) and for tool calls ({@code call the tool NAME}, once or more; {@code call
 * the tools A and B together}). Only tools that the client offers are called.
 */
final class AnswerScript {
  private static final Pattern WORD_COUNT = Pattern.compile("answer in (\\d{1,6}) words");
  private static final Pattern WORD_LETTERS = Pattern.compile("words of (\\d{1,5}) letters");
  private static final Pattern SINGLE_CALL =
      Pattern.compile("call the tool ([A-Za-z0-9_.-]*[A-Za-z0-9_-])");
  private static final Pattern PARALLEL_CALLS =
      Pattern.compile(
          "call the tools ((?:[A-Za-z0-9_.-]+ and )+[A-Za-z0-9_.-]*[A-Za-z0-9_-]) together");
  private static final Pattern MARK = Pattern.compile("#([A-Za-z0-9-]{1,64})#");
  private static final int MIN_WORDS = 12;
  private static final int WORD_SPREAD = 40;
  private static final int WORDS_BEFORE_CALL = 4;

  private AnswerScript() {}

  /** A tool call of an answer; {@code arguments} is JSON. */
  record ToolCall(String id, String name, String arguments) {}

  /** One turn of an answer: pieces of text of one token each, then the tool calls, if any. */
  record Turn(List<String> pieces, List<ToolCall> toolCalls) {}

  /**
   * The last user message and the turns that followed it.
   *
   * @param completedTurns the number of assistant turns since then that ended with tool calls
   * @param toolResults tool results of the last of these turns
   */
  private record Progress(String question, int completedTurns, List<String> toolResults) {}

  /** Returns the last mark ({@code #MARK#}) in the user messages, empty if there is none. */
  static String mark(JsonNode messages) {
    String mark = "";
    for (JsonNode message : messages) {
      if (role(message).equals("user")) {
        Matcher matcher = MARK.matcher(content(message));
        while (matcher.find()) {
          mark = matcher.group(1);
        }
      }
    }
    return mark;
  }

  /**
   * Whether the last message contains the given words. Benchmarks use two options: {@code stamp
   * each word} replaces each token by the time at which it is sent, and {@code without pause} sends
   * tokens as fast as the client reads them.
   */
  static boolean lastMessageContains(JsonNode messages, String words) {
    return content(messages.path(messages.size() - 1)).contains(words);
  }

  private static String role(JsonNode message) {
    return message.path("role").asText();
  }

  private static String content(JsonNode message) {
    return message.path("content").asText();
  }

  /** Returns the turn that follows the messages of a request. */
  static Turn nextTurn(JsonNode body) {
    JsonNode messages = body.path("messages");
    Progress progress = progress(messages);
    List<List<String>> calledTools =
        calledTools(progress.question(), offeredTools(body.path("tools")));
    int turn = progress.completedTurns();
    List<String> pieces = new ArrayList<>();
    List<ToolCall> toolCalls = List.of();
    if (!progress.toolResults().isEmpty()) {
      pieces.add("[" + String.join("|", progress.toolResults()) + "]");
    }
    if (turn < calledTools.size()) {
      addWords(pieces, turn, WORDS_BEFORE_CALL, 0);
      toolCalls = toolCalls(turn, calledTools.get(turn));
    } else {
      String question = progress.question();
      int defaultCount = MIN_WORDS + Math.floorMod(question.hashCode(), WORD_SPREAD);
      int count = findNumber(WORD_COUNT, question).orElse(defaultCount);
      addWords(pieces, turn, count, findNumber(WORD_LETTERS, question).orElse(0));
    }
    return new Turn(skipDelivered(pieces, deliveredText(body)), toolCalls);
  }

  private static Progress progress(JsonNode messages) {
    String question = "";
    int completedTurns = 0;
    List<String> toolResults = new ArrayList<>();
    for (JsonNode message : messages) {
      switch (role(message)) {
        case "user" -> {
          question = content(message);
          completedTurns = 0;
          toolResults.clear();
        }
        case "assistant" -> {
          if (!message.path("tool_calls").isEmpty()) {
            completedTurns++;
            toolResults.clear();
          }
        }
        case "tool" -> toolResults.add(content(message));
        default -> {
          // a system prompt does not affect the answer
        }
      }
    }
    return new Progress(question, completedTurns, toolResults);
  }

  private static OptionalInt findNumber(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find()
        ? OptionalInt.of(Integer.parseInt(matcher.group(1)))
        : OptionalInt.empty();
  }

  private static List<ToolCall> toolCalls(int turn, List<String> tools) {
    List<ToolCall> calls = new ArrayList<>();
    for (int number = 0; number < tools.size(); number++) {
      calls.add(
          new ToolCall(
              "call_" + turn + "_" + number,
              tools.get(number),
              "{\"turn\":" + turn + ",\"number\":" + number + "}"));
    }
    return calls;
  }

  /** Adds words that consist of the turn's letter and a number, padded to the given length. */
  private static void addWords(List<String> pieces, int turn, int count, int minLetters) {
    for (int i = 0; i < count; i++) {
      String word = " " + (char) ('a' + turn % 26) + i;
      pieces.add(word + "x".repeat(Math.max(0, minLetters - word.length())));
    }
  }

  /** Returns the part of the turn that another engine delivered before its stream broke. */
  private static String deliveredText(JsonNode body) {
    if (!body.path("continue_final_message").asBoolean(false)) {
      return "";
    }
    JsonNode messages = body.path("messages");
    return content(messages.path(messages.size() - 1));
  }

  private static List<String> skipDelivered(List<String> pieces, String delivered) {
    int first = 0;
    int length = 0;
    while (first < pieces.size() && length < delivered.length()) {
      length += pieces.get(first++).length();
    }
    return pieces.subList(first, pieces.size());
  }

  private static Set<String> offeredTools(JsonNode tools) {
    Set<String> names = new HashSet<>();
    tools.forEach(tool -> names.add(tool.path("function").path("name").asText()));
    return names;
  }

  /** Returns the names of the tools to call, one list for each turn. */
  private static List<List<String>> calledTools(String question, Set<String> offered) {
    List<List<String>> turns = new ArrayList<>();
    Matcher parallel = PARALLEL_CALLS.matcher(question);
    while (parallel.find()) {
      List<String> names = List.of(parallel.group(1).split(" and "));
      if (offered.containsAll(names)) {
        turns.add(names);
      }
    }
    Matcher single = SINGLE_CALL.matcher(question);
    while (single.find()) {
      if (offered.contains(single.group(1))) {
        turns.add(List.of(single.group(1)));
      }
    }
    return turns;
  }
}
