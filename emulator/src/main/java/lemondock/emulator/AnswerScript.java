package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What a stand-in writes: a function of the prompt alone, so that any writer gives the same answer
 * and a client can check every token. A prompt may ask for a length ({@code answer in N words of M
 * letters}) and for tools ({@code call the tool NAME}, once or more; {@code call the tools A and B
 * together}); they are called if the client offers them.
 */
public final class AnswerScript {
  private static final Pattern LENGTH = Pattern.compile("answer in (\\d{1,6}) words");
  private static final Pattern LETTERS = Pattern.compile("words of (\\d{1,5}) letters");
  private static final Pattern CALL =
      Pattern.compile("call the tool ([A-Za-z0-9_.-]*[A-Za-z0-9_-])");
  private static final Pattern TOGETHER =
      Pattern.compile(
          "call the tools ((?:[A-Za-z0-9_.-]+ and )+[A-Za-z0-9_.-]*[A-Za-z0-9_-])" + " together");
  private static final Pattern MARK = Pattern.compile("#([A-Za-z0-9-]{1,64})#");
  private static final int SHORTEST = 12;
  private static final int SPREAD = 40;
  private static final int BEFORE_CALL = 4;

  private AnswerScript() {}

  /** A tool call to be made. */
  public record Call(String id, String name, String arguments) {}

  /** One leg of an answer: pieces of text, a token each, then calls, if any. */
  public record Leg(List<String> pieces, List<Call> calls) {}

  /** The mark of the last user message that has one, empty if there is none. */
  public static String mark(JsonNode messages) {
    String mark = "";
    for (JsonNode message : messages) {
      if (message.path("role").asText().equals("user")) {
        Matcher found = MARK.matcher(message.path("content").asText());
        while (found.find()) {
          mark = found.group(1);
        }
      }
    }
    return mark;
  }

  /**
   * Whether the last message has these words; for measurements: {@code stamp each word} makes each
   * the moment of its sending, {@code without pause} sends them as fast as they are taken.
   */
  public static boolean says(JsonNode messages, String words) {
    return messages.path(messages.size() - 1).path("content").asText().contains(words);
  }

  /** The leg that a prompt leads to. */
  public static Leg leg(JsonNode body) {
    JsonNode messages = body.path("messages");
    int lastUser = -1;
    int toolTurns = 0;
    List<String> toolTexts = new ArrayList<>();
    for (int i = 0; i < messages.size(); i++) {
      String role = messages.get(i).path("role").asText();
      if (role.equals("user")) {
        lastUser = i;
        toolTurns = 0;
        toolTexts.clear();
      } else if (role.equals("assistant") && messages.get(i).path("tool_calls").size() > 0) {
        toolTurns++;
        toolTexts.clear();
      } else if (role.equals("tool")) {
        toolTexts.add(messages.get(i).path("content").asText());
      }
    }
    String asked = lastUser < 0 ? "" : messages.get(lastUser).path("content").asText();
    String partial =
        body.path("continue_final_message").asBoolean(false)
            ? messages.path(messages.size() - 1).path("content").asText()
            : "";
    List<List<String>> turns = wanted(asked, offered(body.path("tools")));
    List<String> pieces = new ArrayList<>();
    List<Call> calls = new ArrayList<>();
    if (!toolTexts.isEmpty()) {
      pieces.add("[" + String.join("|", toolTexts) + "]");
    }
    if (toolTurns < turns.size()) {
      addWords(pieces, toolTurns, BEFORE_CALL, 0);
      int number = 0;
      for (String name : turns.get(toolTurns)) {
        calls.add(
            new Call(
                "call_" + toolTurns + "_" + number,
                name,
                "{\"turn\":" + toolTurns + ",\"number\":" + number + "}"));
        number++;
      }
    } else {
      Matcher length = LENGTH.matcher(asked);
      Matcher letters = LETTERS.matcher(asked);
      addWords(
          pieces,
          toolTurns,
          length.find()
              ? Integer.parseInt(length.group(1))
              : SHORTEST + Math.floorMod(asked.hashCode(), SPREAD),
          letters.find() ? Integer.parseInt(letters.group(1)) : 0);
    }
    return new Leg(behind(pieces, partial), calls);
  }

  private static void addWords(List<String> pieces, int turn, int count, int letters) {
    for (int i = 0; i < count; i++) {
      String word = " " + (char) ('a' + turn % 26) + i;
      pieces.add(word.length() < letters ? word + "x".repeat(letters - word.length()) : word);
    }
  }

  /** What is left when a part was delivered before. */
  private static List<String> behind(List<String> pieces, String partial) {
    int at = 0;
    int length = 0;
    while (at < pieces.size() && length < partial.length()) {
      length += pieces.get(at++).length();
    }
    return pieces.subList(at, pieces.size());
  }

  private static Set<String> offered(JsonNode tools) {
    Set<String> names = new HashSet<>();
    tools.forEach(t -> names.add(t.path("function").path("name").asText()));
    return names;
  }

  private static List<List<String>> wanted(String asked, Set<String> offered) {
    List<List<String>> turns = new ArrayList<>();
    Matcher together = TOGETHER.matcher(asked);
    while (together.find()) {
      List<String> names = List.of(together.group(1).split(" and "));
      if (offered.containsAll(names)) {
        turns.add(names);
      }
    }
    Matcher single = CALL.matcher(asked);
    while (single.find()) {
      if (offered.contains(single.group(1))) {
        turns.add(List.of(single.group(1)));
      }
    }
    return turns;
  }
}
