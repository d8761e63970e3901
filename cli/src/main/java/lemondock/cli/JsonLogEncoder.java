package lemondock.cli;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.slf4j.event.KeyValuePair;

/**
 * Encodes each log event as one line of JSON with the formatted message and the key-value pairs.
 */
final class JsonLogEncoder extends EncoderBase<ILoggingEvent> {
  @Override
  public byte[] headerBytes() {
    return new byte[0];
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    ObjectNode line =
        JsonNodeFactory.instance
            .objectNode()
            .put("time", Instant.ofEpochMilli(event.getTimeStamp()).toString())
            .put("level", event.getLevel().toString())
            .put("logger", event.getLoggerName())
            .put("thread", event.getThreadName())
            .put("message", event.getFormattedMessage());
    if (event.getKeyValuePairs() != null) {
      for (KeyValuePair pair : event.getKeyValuePairs()) {
        line.put(pair.key, String.valueOf(pair.value));
      }
    }
    if (event.getThrowableProxy() != null) {
      line.put("error", ThrowableProxyUtil.asString(event.getThrowableProxy()));
    }
    return (line + "\n").getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public byte[] footerBytes() {
    return new byte[0];
  }
}
