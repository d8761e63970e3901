package lemondock.gateway.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
  void aReadAsksForARemoteDecodeOfOneToken() throws IOException {
    ObjectNode prompt = MAPPER.createObjectNode().put("model", "m");
    ObjectNode body = (ObjectNode) MAPPER.readTree(EngineProtocol.read(prompt, "r1"));
    assertEquals(1, body.get("max_tokens").asInt());
    assertTrue(body.at("/kv_transfer_params/do_remote_decode").asBoolean());
    assertFalse(prompt.has("kv_transfer_params"));
    ObjectNode write =
        (ObjectNode)
            MAPPER.readTree(EngineProtocol.write(prompt, "w1", body.get("kv_transfer_params"), 9));
    assertTrue(
        write.get("stream").asBoolean() && write.at("/stream_options/include_usage").asBoolean());
  }

  @Test
  void repliesAreRead() {
    EngineProtocol.ReadReply reply =
        EngineProtocol.readReply(
            bytes(
                "{\"kv_transfer_params\":{\"a\":1},\"usage\":"
                    + "{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}"));
    assertNull(reply.problem());
    assertEquals(4, reply.cachedTokens());
    assertNotNull(EngineProtocol.readReply(bytes("{}")).problem());
    assertNotNull(EngineProtocol.readReply(bytes("")).problem());
    assertNotNull(EngineProtocol.readReply(bytes("<html>")).problem());
  }

  @Test
  void chunksAreRead() {
    CompletionChunk chunk =
        EngineProtocol.chunk(
            "{\"choices\":[{\"delta\":{\"content\":\"hi\",\"tool_calls\":[{\"index\":1,"
                + "\"id\":\"c\",\"function\":{\"name\":\"t\",\"arguments\":\"{\"}}]},\"finish_reason\":\"stop\"}]}");
    assertEquals("hi", chunk.text());
    assertEquals("t", chunk.calls().get(0).name());
    assertEquals("stop", chunk.finish());
    assertTrue(EngineProtocol.chunk("[DONE]").last());
    assertEquals("bad", EngineProtocol.chunk("{\"error\":{\"message\":\"bad\"}}").error());
    assertNotNull(EngineProtocol.chunk("{\"choices\":").error());
  }

  @Test
  void onlyARefusalBeforeWorkProvesThatNothingRan() {
    assertEquals(AttemptOutcome.FULL, EngineProtocol.refusal(429, bytes("")).ending());
    assertEquals(AttemptOutcome.FULL, EngineProtocol.refusal(503, bytes("x")).ending());
    assertTrue(
        EngineProtocol.refusal(503, bytes("{\"error\":{\"code\":\"kv_state_missing\"}}"))
            .stateMissing());
    assertFalse(
        EngineProtocol.refusal(500, bytes("{\"error\":{\"code\":\"kv_state_missing\"}}"))
            .stateMissing());
    for (int status : new int[] {400, 404, 500, 502, 504}) {
      assertEquals(AttemptOutcome.ERROR, EngineProtocol.refusal(status, bytes("{}")).ending());
    }
  }

  @Property(tries = 2_000, seed = "20261201")
  void anyDataIsSurvived(@ForAll String data, @ForAll byte[] body) {
    assertNotNull(EngineProtocol.chunk(data));
    assertNotNull(EngineProtocol.readReply(body));
    assertNotNull(EngineProtocol.refusal(500, body));
  }
}
