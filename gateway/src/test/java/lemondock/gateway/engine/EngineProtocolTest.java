package lemondock.gateway.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import lemondock.policy.AttemptOutcome;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EngineProtocolTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void prefillRequestsOneTokenAndARemoteDecode() throws IOException {
    ObjectNode prompt = MAPPER.createObjectNode().put("model", "m");
    ObjectNode prefillBody =
        (ObjectNode) MAPPER.readTree(EngineProtocol.prefillRequest(prompt, "r1"));
    assertEquals(1, prefillBody.get("max_tokens").asInt());
    assertTrue(prefillBody.at("/kv_transfer_params/do_remote_decode").asBoolean());
    assertFalse(prompt.has("kv_transfer_params"));
    ObjectNode decodeBody =
        (ObjectNode)
            MAPPER.readTree(
                EngineProtocol.decodeRequest(
                    prompt, "w1", Optional.of(prefillBody.get("kv_transfer_params")), 9));
    assertTrue(
        decodeBody.get("stream").asBoolean()
            && decodeBody.at("/stream_options/include_usage").asBoolean());
  }

  @Test
  void parsesPrefillReplies() {
    PrefillReply reply =
        EngineProtocol.parsePrefillReply(
            bytes(
                "{\"kv_transfer_params\":{\"a\":1},\"usage\":"
                    + "{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}"));
    PrefillReply.Completed completed = assertInstanceOf(PrefillReply.Completed.class, reply);
    assertEquals(4, completed.cachedTokens());
    assertNotNull(problem("{}"));
    assertNotNull(problem(""));
    assertNotNull(problem("<html>"));
  }

  private static String problem(String reply) {
    return assertInstanceOf(
            PrefillReply.Malformed.class, EngineProtocol.parsePrefillReply(bytes(reply)))
        .problem();
  }

  @Test
  void parsesChunks() {
    CompletionChunk chunk =
        CompletionChunkParser.parse(
            "{\"choices\":[{\"delta\":{\"content\":\"hi\",\"tool_calls\":[{\"index\":1,"
                + "\"id\":\"c\",\"function\":{\"name\":\"t\",\"arguments\":\"{\"}}]},\"finish_reason\":\"stop\"}]}");
    assertEquals("hi", chunk.text());
    assertEquals("t", chunk.toolCalls().get(0).name());
    assertEquals(Optional.of("stop"), chunk.finishReason());
    assertSame(CompletionChunk.END_OF_STREAM, CompletionChunkParser.parse("[DONE]"));
    assertEquals(
        Optional.of("bad"),
        CompletionChunkParser.parse("{\"error\":{\"message\":\"bad\"}}").error());
    assertTrue(CompletionChunkParser.parse("{\"choices\":").error().isPresent());
  }

  @Test
  void onlyStatuses429And503CountAsRejected() {
    assertEquals(AttemptOutcome.REJECTED, EngineProtocol.parseErrorReply(429, bytes("")).outcome());
    assertEquals(
        AttemptOutcome.REJECTED, EngineProtocol.parseErrorReply(503, bytes("x")).outcome());
    assertTrue(
        EngineProtocol.parseErrorReply(503, bytes("{\"error\":{\"code\":\"kv_state_missing\"}}"))
            .stateMissing());
    assertFalse(
        EngineProtocol.parseErrorReply(500, bytes("{\"error\":{\"code\":\"kv_state_missing\"}}"))
            .stateMissing());
    for (int status : new int[] {400, 404, 500, 502, 504}) {
      assertEquals(
          AttemptOutcome.ERROR, EngineProtocol.parseErrorReply(status, bytes("{}")).outcome());
    }
  }

  @Property(tries = 2_000, seed = "20261201")
  void parsersDoNotThrowOnArbitraryInput(@ForAll String data, @ForAll byte[] body) {
    assertNotNull(CompletionChunkParser.parse(data));
    assertNotNull(EngineProtocol.parsePrefillReply(body));
    assertNotNull(EngineProtocol.parseErrorReply(500, body));
  }
}
