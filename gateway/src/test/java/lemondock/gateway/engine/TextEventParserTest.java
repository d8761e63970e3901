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

/** Tests that the parser accepts only events that the general parser parses to the same result. */
@SuppressWarnings("checkstyle:AvoidEscapedUnicodeCharacters") // The escapes are the test data.
class TextEventParserTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private final TextEventParser parser = new TextEventParser();

  /**
   * Returns whether the event was accepted. If so, asserts that the general parser gives the same
   * result.
   */
  private boolean accepts(byte[] data) {
    // bytes after the given length must not affect the result
    byte[] paddedData = java.util.Arrays.copyOf(data, data.length + 7);
    boolean isAccepted = parser.parse(paddedData, data.length);
    if (isAccepted) {
      CompletionChunk expected =
          CompletionChunkParser.parse(new String(data, StandardCharsets.UTF_8));
      assertEquals(
          new CompletionChunk(
              parser.text().toString(),
              List.of(),
              Optional.empty(),
              expected.promptTokens(),
              -1,
              parser.completionTokens(),
              Optional.empty()),
          expected);
    }
    return isAccepted;
  }

  private boolean accepts(String data) {
    return accepts(data.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void acceptsPlainTextEventsOfVllm() {
    assertTrue(
        accepts(
            "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1764547200,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
                + " a\\u00e9\\n"
                + "\\\"\\ud83d\\ude00"
                + " \u00fc\u20ac\uD83D\uDE00\"},\"logprobs\":{\"content\":[{\"a\":[1.5e3,-0]}]},"
                + "\"finish_reason\":null,\"stop_reason\":null}],\"usage\":{\"prompt_tokens\":5,\"total_tokens\":7,\"completion_tokens\":2}}"));
    assertEquals(" a\u00e9\n\"\uD83D\uDE00 \u00fc\u20ac\uD83D\uDE00", parser.text().toString());
    assertEquals(2, parser.completionTokens());
    assertTrue(accepts(" { \"choices\" : [ { \"delta\" : { \"content\" : \"x\" } } ] } "));
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
  void rejectsUnsupportedAndMalformedEvents(String data) {
    assertFalse(accepts(data), data);
  }

  @Test
  void rejectsInvalidUtf8AndDeepNesting() {
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
      assertFalse(accepts(data), java.util.Arrays.toString(bytes));
    }
    assertFalse(
        accepts("{\"content\":\"x\",\"choices\":" + "[".repeat(200) + "]".repeat(200) + "}"));
    assertFalse(accepts("{\"content\":\"x\",\"other\":" + "[".repeat(200) + "]".repeat(200) + "}"));
  }

  @Property(tries = 2_000, seed = "20261201")
  void parsesArbitraryText(
      @ForAll String text, @ForAll @IntRange(min = 0, max = 100_000) int tokens) throws Exception {
    String validText = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    ObjectNode event = MAPPER.createObjectNode().put("id", "x");
    event
        .putArray("choices")
        .addObject()
        .put("index", 0)
        .putNull("finish_reason")
        .putObject("delta")
        .put("content", validText);
    event.putObject("usage").put("completion_tokens", tokens);
    byte[] data = MAPPER.writeValueAsBytes(event);
    assertEquals(!validText.isEmpty(), accepts(data));
    assertEquals(validText, parser.text().toString());
  }

  /**
   * Replaces, removes or inserts a byte of a valid event; {@link #accepts} asserts that the event
   * is accepted only if the general parser gives the same result.
   */
  @Property(tries = 5_000, seed = "20261201")
  void neverMisreadsACorruptedEvent(
      @ForAll @IntRange(min = 0, max = 200) int positionSeed,
      @ForAll byte value,
      @ForAll @IntRange(min = 0, max = 2) int mutation) {
    byte[] original =
        ("{\"id\":\"c\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" a\\n"
                + "\u00e9\"},\"logprobs\":{\"x\":[1,2.5]},\"finish_reason\":null}],"
                + "\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2}}")
            .getBytes(StandardCharsets.UTF_8);
    int position = positionSeed % original.length;
    byte[] corrupted =
        mutation == 0 ? original : new byte[original.length + (mutation == 1 ? -1 : 1)];
    if (mutation == 0) {
      corrupted[position] = value;
    } else {
      System.arraycopy(original, 0, corrupted, 0, position);
      int sourceStart = mutation == 1 ? position + 1 : position;
      System.arraycopy(
          original,
          sourceStart,
          corrupted,
          mutation == 1 ? position : position + 1,
          original.length - sourceStart);
      if (mutation == 2) {
        corrupted[position] = value;
      }
    }
    accepts(corrupted);
  }
}
