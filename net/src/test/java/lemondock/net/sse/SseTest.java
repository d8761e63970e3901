package lemondock.net.sse;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SseTest {
  private static final SseEventSink NO_SINK = (id, type, data, length) -> {};

  private static List<SseEvent> decode(byte[] bytes, int pieceBytes) {
    SseDecoder decoder = new SseDecoder(10_000);
    List<SseEvent> events = new ArrayList<>();
    for (int offset = 0; offset < bytes.length; offset += pieceBytes) {
      decoder.decode(
          ByteBuffer.wrap(bytes, offset, Math.min(pieceBytes, bytes.length - offset)),
          (id, type, data, length) ->
              events.add(
                  new SseEvent(id, type, new String(data, 0, length, StandardCharsets.UTF_8))));
    }
    return events;
  }

  private static List<SseEvent> decode(String text) {
    return decode(text.getBytes(StandardCharsets.UTF_8), 3);
  }

  @Test
  void specificationExamplesAreDecoded() {
    assertEquals(
        List.of(new SseEvent(null, "message", "YHOO\n+2\n10")),
        decode("data: YHOO\ndata: +2\ndata: 10\n\n"));
    assertEquals(
        List.of(
            new SseEvent("1", "message", "first event"),
            new SseEvent("", "message", "second event"),
            new SseEvent("", "message", " third event")),
        decode(
            ": test stream\n\n"
                + "data: first event\n"
                + "id: 1\n\n"
                + "data:second event\n"
                + "id\n\n"
                + "data:  third event\n\n"));
    assertEquals(
        List.of(new SseEvent(null, "message", ""), new SseEvent(null, "message", "\n")),
        decode("data\n\ndata\ndata\n\ndata:"));
  }

  @Test
  void allLineEndsAreAcceptedAndByteOrderMarkIsSkipped() {
    assertEquals(
        List.of(new SseEvent("7", "x", "a\nb"), new SseEvent("7", "message", "c")),
        decode("\uFEFFevent: x\rid: 7\r\ndata: a\ndata: b\r\r\ndata: c\r\n\r\n"));
  }

  @Test
  void lineAndEventSizesAreLimited() {
    SseDecoder lineDecoder = new SseDecoder(20);
    assertThrows(
        EventTooLongException.class,
        () -> lineDecoder.decode(ByteBuffer.wrap(new byte[600]), NO_SINK));
    SseDecoder eventDecoder = new SseDecoder(20);
    byte[] threeDataLines =
        "data: 0123456789\ndata: 0123456789\ndata: 0123456789\n\n".getBytes(StandardCharsets.UTF_8);
    assertThrows(
        EventTooLongException.class,
        () -> eventDecoder.decode(ByteBuffer.wrap(threeDataLines), NO_SINK));
  }

  @Property(tries = 500, seed = "20261201")
  void encodedEventsAreDecodedUnchanged(
      @ForAll String text, @ForAll @IntRange(min = 1, max = 9) int pieceBytes) {
    String data =
        new String(text.replace("\r", "").getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
    List<SseEvent> events = decode(SseEvent.encode("3-4", "message", data), pieceBytes);
    assertEquals(List.of(new SseEvent("3-4", "message", data)), events);
    assertTrue(decode(SseEvent.comment("x"), pieceBytes).isEmpty());
  }
}
