package lemondock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.slf4j.event.KeyValuePair;

class JsonLogEncoderTest {
  @Test
  void lineHasFormattedMessageAndKeyValuePairs() throws IOException {
    LoggingEvent event =
        new LoggingEvent(
            "x",
            new LoggerContext().getLogger("Gateway"),
            Level.WARN,
            "{} of\n{}",
            new IllegalStateException("broken"),
            new Object[] {3, "\"five\""});
    event.addKeyValuePair(new KeyValuePair("server", "south-writer-1"));
    String text = new String(new JsonLogEncoder().encode(event), StandardCharsets.UTF_8);
    assertEquals(1, text.lines().count());
    JsonNode line = new ObjectMapper().readTree(text);
    assertEquals("3 of\n\"five\"", line.get("message").textValue());
    assertEquals("south-writer-1", line.get("server").textValue());
    assertEquals("WARN", line.get("level").textValue());
    assertTrue(line.get("error").textValue().startsWith("java.lang.IllegalStateException: broken"));
  }
}
