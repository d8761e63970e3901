package lemondock.gateway.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the parser takes means the same to the general parser; it leaves the rest alone. */
@SuppressWarnings("checkstyle:AvoidEscapedUnicodeCharacters") // The escapes are what is parsed.
class TextEventParserTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private final TextEventParser parser = new TextEventParser();

  /** Whether it was taken; if so it agrees with the general parser. */
  private boolean takes(byte[] data) {
    byte[] longer =
        java.util.Arrays.copyOf(data, data.length + 7); // what is behind the length must not matter
    boolean taken = parser.parse(longer, data.length);
    if (taken) {
      CompletionChunk whole = CompletionChunkParser.parse(new String(data, StandardCharsets.UTF_8));
      assertEquals(
          new CompletionChunk(
              parser.text().toString(),
              List.of(),
              Optional.empty(),
              whole.promptTokens(),
              -1,
              parser.completionTokens(),
              Optional.empty()),
          whole);
    }
    return taken;
  }

  private boolean takes(String data) {
    return takes(data.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void theUsualEventOfVllmIsParsed() {
    assertTrue(
        takes(
            "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1764547200,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + " a\\u00e9\\n"
                + "\\\"\\ud83d\\ude00"
                + " \u00fc\u20ac\uD83D\uDE00\"},\"logprobs\":{\"content\":[{\"a\":[1.5e3,-0]}]},"
                + "\"finish_reason\":null,\"stop_reason\":null}],\"usage\":{\"prompt_tokens\":5,\"total_tokens\":7,\"completion_tokens\":2}}"));
    assertEquals(" a\u00e9\n\"\uD83D\uDE00 \u00fc\u20ac\uD83D\uDE00", parser.text().toString());
    assertEquals(2, parser.completionTokens());
    assertTrue(takes(" { \"choices\" : [ { \"delta\" : { \"content\" : \"x\" } } ] } "));
    assertEquals(-1, parser.completionTokens());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "[DONE]",
        "",
        "{",
        "{}",
        "null",
        "{\"choices\":[]}",
        "{\"choices\":[{\"delta\":{\"content\":\"\"}}]}",
        "{\"choices\":[{\"delta\":{\"content\":\"x\"},\"finish_reason\":\"stop\"}]}",
        "{\"error\":{\"message\":\"x\"},\"content\":\"y\"}",
        "{\"choices\":[{\"delta\":{\"content\":\"x\",\"tool_calls\":[{\"index\":0}]}}]}",
        "{\"content\":\"x\"",
        "{\"content\":\"x\"}}",
        "{\"content\":\"x\",}",
        "{\"content\":\"x\" \"a\":1}",
        "{,\"content\":\"x\"}",
        "{\"content\":\"x\",\"a\":01}",
        "{\"content\":\"x\",\"a\":1.}",
        "{\"content\":\"x\",\"a\":tru}",
        "{\"content\":\"\\x\"}",
        "{\"content\":\"\\u12\"}",
        "{\"content\":\"a\nb\"}",
        "{\"content\":\"x\"]",
        "{\"content\":\"x\",\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":3}}}",
        "{\"content\":\"x\",\"completion_tokens\":99999999999}",
        "{\"content\":\"x\",\"completion_tokens\":1.5}",
        "{\"content\":\"x\",\"z\":[1,]}",
        "{\"content\":\"x\",\"z\":{\"a\"}}",
        "{\"content\":\"x\",\"z\":{\"a\":}}",
        "{\"content\":\"x\"}{",
        "{\"content\":\"x\",\"\\u0065rror\":1}",
        "[{\"content\":\"x\"}]"
      })
  void unusualAndBrokenEventsAreLeftToTheGeneralParser(String data) {
    assertFalse(takes(data), data);
  }

  @Test
  void invalidUtf8AndDeepNestingAreNotTaken() {
    for (int[] bytes :
        new int[][] {
          {0xc0, 0xaf},
          {0xe0, 0x80, 0xaf},
          {0xed, 0xa0, 0x80},
          {0xf4, 0x90, 0x80, 0x80},
          {0xff},
          {0x80},
          {0xc3}
        }) {
      byte[] data = "{\"content\":\"____\"}".getBytes(StandardCharsets.US_ASCII);
      for (int i = 0; i < bytes.length; i++) {
        data[12 + i] = (byte) bytes[i];
      }
      assertFalse(takes(data), java.util.Arrays.toString(bytes));
    }
    assertFalse(takes("{\"content\":\"x\",\"choices\":" + "[".repeat(200) + "]".repeat(200) + "}"));
    assertFalse(takes("{\"content\":\"x\",\"other\":" + "[".repeat(200) + "]".repeat(200) + "}"));
  }

  @Property(tries = 2_000, seed = "20261201")
  void anyTextIsParsed(@ForAll String text, @ForAll @IntRange(min = 0, max = 100_000) int tokens)
      throws Exception {
    String whole = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    ObjectNode event = MAPPER.createObjectNode().put("id", "x");
    event
        .putArray("choices")
        .addObject()
        .put("index", 0)
        .putNull("finish_reason")
        .putObject("delta")
        .put("content", whole);
    event.putObject("usage").put("completion_tokens", tokens);
    byte[] data = MAPPER.writeValueAsBytes(event);
    assertEquals(!whole.isEmpty(), takes(data));
    assertEquals(whole, parser.text().toString());
  }

  /**
   * Any byte of a usual event changed, left out or put twice: taken only where the general parser
   * says the same.
   */
  @Property(tries = 5_000, seed = "20261201")
  void aBrokenEventIsNeverTakenForAnother(
      @ForAll @IntRange(min = 0, max = 200) int at,
      @ForAll byte value,
      @ForAll @IntRange(min = 0, max = 2) int how) {
    byte[] usual =
        ("{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" a\\n"
                + "\u00e9\"},\"logprobs\":{\"x\":[1,2.5]},\"finish_reason\":null}],"
                + "\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}")
            .getBytes(StandardCharsets.UTF_8);
    int where = at % usual.length;
    byte[] broken = how == 0 ? usual : new byte[usual.length + (how == 1 ? -1 : 1)];
    if (how == 0) {
      broken[where] = value;
    } else {
      System.arraycopy(usual, 0, broken, 0, where);
      int from = how == 1 ? where + 1 : where;
      System.arraycopy(usual, from, broken, how == 1 ? where : where + 1, usual.length - from);
      if (how == 2) {
        broken[where] = value;
      }
    }
    takes(broken);
  }
}
