package lemondock.gateway.mcp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ToolNameScannerTest {
  private static Optional<String> toolName(String body) {
    return ToolNameScanner.toolName(body.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void findsToolNameOfCall() {
    assertEquals(
        Optional.of("sale-lookup"),
        toolName(
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"a\":1}}"));
    assertEquals(
        Optional.of("x"),
        toolName("{ \"params\" : { \"name\" :\n\t\"x\" } , \"method\" : \"tools/call\" }"));
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
  void leavesOtherBodiesToTheParser(String body) {
    assertEquals(Optional.empty(), toolName(body));
  }

  @Test
  void ignoresNameBeyondScanLimitOrTooLong() {
    assertEquals(
        Optional.empty(),
        toolName("{\"method\":\"tools/call\",\"x\":\"" + "y".repeat(600) + "\",\"name\":\"x\"}"));
    assertEquals(
        Optional.empty(),
        toolName("{\"method\":\"tools/call\",\"name\":\"" + "y".repeat(200) + "\"}"));
  }

  /**
   * {@link RequestPreparer} is given the first bytes of a large body to reject it early, and later
   * the whole body to prepare the request. Both scans must give the same result.
   */
  @Test
  void firstBytesGiveSameResultAsWholeBody() {
    for (int paddingLength = 0; paddingLength < 700; paddingLength++) {
      byte[] body =
          ("{\"method\":\"tools/call\",\"x\":\""
                  + "y".repeat(paddingLength)
                  + "\",\"params\":{\"name\" : \"day-close\",\"arguments\":{}}}"
                  + "z".repeat(300))
              .getBytes(StandardCharsets.UTF_8);
      assertEquals(
          ToolNameScanner.toolName(body),
          ToolNameScanner.toolName(
              Arrays.copyOf(body, Math.min(body.length, ToolNameScanner.SCAN_LIMIT_BYTES))),
          "after " + paddingLength);
    }
  }
}
