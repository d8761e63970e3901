package lemondock.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class JsonRpcTest {
  private final JsonRpc rpc = new JsonRpc(new JsonRpc.Limits(10, 3, 1000, 30));

  private JsonRpc.Parsed parse(String text) {
    return rpc.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  private JsonRpcMessage parseSingle(String text) {
    return parse(text).messages().get(0);
  }

  @Test
  void parsesEachKindOfMessage() {
    assertEquals(
        "sum",
        assertInstanceOf(
                JsonRpcMessage.Request.class,
                parseSingle("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"sum\",\"params\":[1]}"))
            .method());
    assertInstanceOf(
        JsonRpcMessage.Notification.class, parseSingle("{\"jsonrpc\":\"2.0\",\"method\":\"n\"}"));
    assertInstanceOf(
        JsonRpcMessage.Response.class,
        parseSingle("{\"jsonrpc\":\"2.0\",\"id\":\"a\",\"result\":null}"));
    assertInstanceOf(
        JsonRpcMessage.Response.class,
        parseSingle("{\"jsonrpc\":\"2.0\",\"id\":null,\"error\":{\"code\":1,\"message\":\"x\"}}"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      quoteCharacter = '`',
      value = {
        "{\"jsonrpc\": ~ -32700 ~ null",
        "`` ~ -32700 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"id\":2,\"method\":\"a\"} ~ -32700 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"a\"} x ~ -32700 ~ null",
        "[[[[[[[[[[[[1]]]]]]]]]]]] ~ -32700 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":1111111111111111111111111111111111,\"method\":\"a\"} ~"
            + " -32700 ~ null",
        "[] ~ -32600 ~ null",
        "[1,2,3,4] ~ -32600 ~ null",
        "1 ~ -32600 ~ null",
        "{\"jsonrpc\":\"1.0\",\"id\":7,\"method\":\"a\"} ~ -32600 ~ 7",
        "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":1} ~ -32600 ~ 7",
        "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"a\",\"params\":\"b\"} ~ -32600 ~ 7",
        "{\"jsonrpc\":\"2.0\",\"id\":null,\"method\":\"a\"} ~ -32600 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":1.5,\"method\":\"a\"} ~ -32600 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"a\"} ~ -32600 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":7} ~ -32600 ~ 7",
        "{\"jsonrpc\":\"2.0\",\"id\":7,\"result\":1,\"error\":{\"code\":1,\"message\":\"x\"}}"
            + " ~ -32600 ~ null",
        "{\"jsonrpc\":\"2.0\",\"id\":7,\"error\":{\"code\":\"x\"}} ~ -32600 ~ null",
        "{\"jsonrpc\":\"2.0\",\"result\":7} ~ -32600 ~ null",
      })
  void invalidTextGetsSpecifiedErrorCode(String text, int code, String id) {
    JsonRpcMessage.Invalid invalid =
        assertInstanceOf(JsonRpcMessage.Invalid.class, parseSingle(text == null ? "" : text));
    assertEquals(code, invalid.code(), invalid.reason());
    assertEquals(id, invalid.id().toString());
  }

  @Test
  void batchIsParsedMessageByMessage() {
    JsonRpc.Parsed parsed =
        parse(
            "[{\"jsonrpc\":\"2.0\",\"method\":\"n\"},1,{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"m\"}]");
    assertTrue(parsed.batch());
    assertEquals(
        List.of(
            JsonRpcMessage.Notification.class,
            JsonRpcMessage.Invalid.class,
            JsonRpcMessage.Request.class),
        parsed.messages().stream().<Class<?>>map(JsonRpcMessage::getClass).toList());
    assertFalse(parse("{\"jsonrpc\":\"2.0\",\"method\":\"n\"}").batch());
  }

  @Test
  void negotiatesRequestedVersionOrNewest() {
    assertEquals("2025-06-18", Mcp.negotiate("2025-06-18"));
    assertEquals(Mcp.VERSIONS.get(0), Mcp.negotiate("1999-01-01"));
  }

  @Property(tries = 1_000, seed = "20261201")
  void arbitraryInputParsesWithoutException(@ForAll String text, @ForAll byte[] bytes) {
    assertFalse(parse(text).messages().isEmpty());
    assertFalse(rpc.parse(bytes).messages().isEmpty());
    assertFalse(
        parse(
                "{\"jsonrpc\":\"2.0\",\"id\":"
                    + JsonNodeFactory.instance.textNode(text)
                    + ",\"method\":\"a\",\"params\":{\"x\":"
                    + JsonNodeFactory.instance.textNode(text)
                    + "}}")
            .messages()
            .isEmpty());
  }

  @Test
  void encodedMessagesParseBackToTheirKind() {
    JsonNodeFactory nodes = JsonNodeFactory.instance;
    assertInstanceOf(
        JsonRpcMessage.Request.class,
        parseSingle(JsonRpc.request(nodes.numberNode(1), "m", nodes.objectNode()).toString()));
    assertInstanceOf(
        JsonRpcMessage.Notification.class, parseSingle(JsonRpc.notification("m", null).toString()));
    assertInstanceOf(
        JsonRpcMessage.Response.class,
        parseSingle(JsonRpc.result(nodes.textNode("a"), nodes.objectNode()).toString()));
    assertInstanceOf(
        JsonRpcMessage.Response.class,
        parseSingle(JsonRpc.error(nodes.nullNode(), 1, "x", nodes.objectNode()).toString()));
  }
}
