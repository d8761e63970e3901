package lemondock.gateway.mcp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ToolNameScannerTest {
  private static Optional<String> tool(String body) {
    return ToolNameScanner.toolName(body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void theToolOfACallIsSeen() {
    assertEquals(
        Optional.of("sale-lookup"),
        tool(
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"a\":1}}"));
    assertEquals(
        Optional.of("x"),
        tool("{ \"params\" : { \"name\" :\n\t\"x\" } , \"method\" : \"tools/call\" }"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[{\"method\":\"tools/call\",\"params\":{\"name\":\"x\"}}]",
        "{\"method\":\"tools/list\",\"params\":{\"name\":\"x\"}}",
        "{\"method\":\"tools/call\"",
        "{\"method\":\"tools/call\",\"name\"",
        "{\"method\":\"tools/call\",\"name\":",
        "{\"method\":\"tools/call\",\"name\":7}",
        "{\"method\":\"tools/call\",\"name\":\"x",
        "{\"method\":\"tools/call\",\"name\":\"a\\u0062\"}"
      })
  void whatIsNotPlainIsLeftToTheParser(String body) {
    assertEquals(Optional.empty(), tool(body));
  }

  @Test
  void aNameFarBehindOrTooLongIsNotLookedFor() {
    assertEquals(
        Optional.empty(),
        tool("{\"method\":\"tools/call\",\"x\":\"" + "y".repeat(600) + "\",\"name\":\"x\"}"));
    assertEquals(
        Optional.empty(), tool("{\"method\":\"tools/call\",\"name\":\"" + "y".repeat(200) + "\"}"));
  }

  /**
   * The server asks with the first bytes only, and again with all when it prepares the request:
   * both must see the same.
   */
  @Test
  void theFirstBytesSayTheSameAsAllOfIt() {
    for (int before = 0; before < 700; before++) {
      byte[] body =
          ("{\"method\":\"tools/call\",\"x\":\""
                  + "y".repeat(before)
                  + "\",\"params\":{\"name\" : \"day-close\",\"arguments\":{}}}"
                  + "z".repeat(300))
              .getBytes(StandardCharsets.UTF_8);
      assertEquals(
          ToolNameScanner.toolName(body),
          ToolNameScanner.toolName(
              Arrays.copyOf(body, Math.min(body.length, ToolNameScanner.SCAN_LIMIT_BYTES))),
          "after " + before);
    }
  }
}
