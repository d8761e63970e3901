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
 * What an emulated engine answers: a function of the prompt alone, so that any writer gives the
 * same answer and a client can check every token. A prompt may ask for a length ({@code answer in N
 * words of M letters}) and for tools ({@code call the tool NAME}, once or more; {@code call the
 * tools A and B together}); they are called if the client offers them.
 */
final class AnswerScript {
  private static final Pattern WORD_COUNT = Pattern.compile("answer in (\\d{1,6}) words");
  private static final Pattern LETTERS = Pattern.compile("words of (\\d{1,5}) letters");
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

  /** A tool call to be made; {@code arguments} is JSON. */
  record Call(String id, String name, String arguments) {}

  /** One turn of an answer: pieces of text, a token each, then tool calls, if any. */
  record Turn(List<String> pieces, List<Call> calls) {}

  /**
   * The last message of the user, and what has happened since.
   *
   * @param completedTurns turns that ended with tool calls
   * @param toolResults results of the tools of the last of them
   */
  private record Progress(String question, int completedTurns, List<String> toolResults) {}

  /** The mark of the last user message that has one, empty if there is none. */
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
   * Whether the last message has these words; for measurements: {@code stamp each word} makes each
   * the moment of its sending, {@code without pause} sends them as fast as they are taken.
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

  /** The turn that follows the messages of a request. */
  static Turn nextTurn(JsonNode body) {
    JsonNode messages = body.path("messages");
    Progress progress = progress(messages);
    List<List<String>> calledTools =
        calledTools(progress.question(), offeredTools(body.path("tools")));
    int turn = progress.completedTurns();
    List<String> pieces = new ArrayList<>();
    List<Call> calls = List.of();
    if (!progress.toolResults().isEmpty()) {
      pieces.add("[" + String.join("|", progress.toolResults()) + "]");
    }
    if (turn < calledTools.size()) {
      addWords(pieces, turn, WORDS_BEFORE_CALL, 0);
      calls = calls(turn, calledTools.get(turn));
    } else {
      String question = progress.question();
      int defaultCount = MIN_WORDS + Math.floorMod(question.hashCode(), WORD_SPREAD);
      int count = find(WORD_COUNT, question).orElse(defaultCount);
      addWords(pieces, turn, count, find(LETTERS, question).orElse(0));
    }
    return new Turn(withoutBeginning(pieces, deliveredText(body)), calls);
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
          // a system prompt changes nothing
        }
      }
    }
    return new Progress(question, completedTurns, toolResults);
  }

  private static OptionalInt find(Pattern pattern, String text) {
    Matcher matcher = pattern.matcher(text);
    return matcher.find()
        ? OptionalInt.of(Integer.parseInt(matcher.group(1)))
        : OptionalInt.empty();
  }

  private static List<Call> calls(int turn, List<String> tools) {
    List<Call> calls = new ArrayList<>();
    for (int number = 0; number < tools.size(); number++) {
      calls.add(
          new Call(
              "call_" + turn + "_" + number,
              tools.get(number),
              "{\"turn\":" + turn + ",\"number\":" + number + "}"));
    }
    return calls;
  }

  /** Words of a letter for the turn and a number, filled up to so many characters. */
  private static void addWords(List<String> pieces, int turn, int count, int letters) {
    for (int i = 0; i < count; i++) {
      String word = " " + (char) ('a' + turn % 26) + i;
      pieces.add(word + "x".repeat(Math.max(0, letters - word.length())));
    }
  }

  /** What of the turn was delivered before, by an engine whose stream broke. */
  private static String deliveredText(JsonNode body) {
    if (!body.path("continue_final_message").asBoolean(false)) {
      return "";
    }
    JsonNode messages = body.path("messages");
    return content(messages.path(messages.size() - 1));
  }

  private static List<String> withoutBeginning(List<String> pieces, String delivered) {
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

  /** The tools to be called by turn. */
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
