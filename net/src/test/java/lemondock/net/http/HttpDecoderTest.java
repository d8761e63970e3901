package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpDecoderTest {
  private static final HttpLimits SMALL_LIMITS = new HttpLimits(100, 300, 8, 50);
  private static final String HOST = "Host: a\r\n";

  /** A piece of content in its place among the events. */
  private record Content(byte[] bytes) {}

  private static List<Object> requests(String text) {
    return decode(
        HttpDecoder.forRequests(SMALL_LIMITS),
        text.getBytes(StandardCharsets.ISO_8859_1),
        text.length());
  }

  private static List<Object> responses(String text, boolean endOfInput) {
    HttpDecoder decoder = HttpDecoder.forResponses(SMALL_LIMITS);
    List<Object> events =
        decode(decoder, text.getBytes(StandardCharsets.ISO_8859_1), text.length());
    if (endOfInput) {
      decoder.end(events);
    }
    return events;
  }

  private static List<Object> decode(HttpDecoder decoder, byte[] bytes, int pieceBytes) {
    List<Object> events = new ArrayList<>();
    decoder.withContentSink(
        piece -> {
          byte[] copy = new byte[piece.remaining()];
          piece.get(copy);
          events.add(new Content(copy));
        });
    for (int offset = 0; offset < bytes.length; offset += pieceBytes) {
      decoder.decode(
          ByteBuffer.wrap(bytes, offset, Math.min(pieceBytes, bytes.length - offset)), events);
    }
    return events;
  }

  /**
   * Returns the events as text with pieces of content joined, so that the result does not depend on
   * how the bytes were split.
   */
  private static String joined(List<Object> events) {
    StringBuilder text = new StringBuilder();
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    for (Object event : events) {
      if (event instanceof Content content) {
        data.writeBytes(content.bytes());
      } else if (!(event instanceof HttpEvent.Began)) {
        text.append(data.toString(StandardCharsets.ISO_8859_1)).append('|');
        data.reset();
        text.append(
            event instanceof HttpEvent.Malformed malformed
                ? "malformed " + malformed.status()
                : event.toString());
      }
    }
    return text.append(data.toString(StandardCharsets.ISO_8859_1)).toString();
  }

  private static HttpEvent.Malformed rejection(List<Object> events) {
    return assertInstanceOf(HttpEvent.Malformed.class, events.get(events.size() - 1));
  }

  @Test
  void pipelinedRequestsDecodeTheSameForEverySplit() {
    byte[] bytes =
        ("POST /a HTTP/1.1\r\n"
                + HOST
                + "Content-Length: 5\r\n\r\nhello"
                + "GET /b HTTP/1.1\r\n"
                + HOST
                + "\r\n\r\n"
                + "POST /c HTTP/1.1\r\n"
                + HOST
                + "Transfer-Encoding: chunked\r\n\r\n"
                + "3;x=y\r\n"
                + "abc\r\n"
                + "2\r\n"
                + "de\r\n"
                + "0\r\n"
                + "T: u\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    String whole = joined(decode(HttpDecoder.forRequests(SMALL_LIMITS), bytes, bytes.length));
    assertTrue(whole.contains("hello|End") && whole.contains("abcde|End"), whole);
    for (int pieceBytes = 1; pieceBytes < bytes.length; pieceBytes++) {
      assertEquals(whole, joined(decode(HttpDecoder.forRequests(SMALL_LIMITS), bytes, pieceBytes)));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      value = {
        "GET / HTTP/1.1\\r\\n\\r\\n ~ 400 ~ Host",
        "GET / HTTP/1.1\\r\\nHost: a\\r\\nHost: b\\r\\n\\r\\n ~ 400 ~ Host",
        "GET /\\r\\n\\r\\n ~ 400 ~ request line",
        "GET / HTTP/2.0\\r\\n\\r\\n ~ 505 ~ HTTP/1",
        "G(T / HTTP/1.1\\r\\n\\r\\n ~ 400 ~ request line",
        "GET /\\u0001 HTTP/1.1\\r\\n\\r\\n ~ 400 ~ control",
        "GET / HTTP/1.1\\nHost: a\\n\\n ~ 400 ~ line feed",
        "GET / HTTP/1.1\\rHost ~ 400 ~ carriage return",
        "GET / HTTP/1.1\\r\\nHost : a\\r\\n\\r\\n ~ 400 ~ without a name",
        "GET / HTTP/1.1\\r\\nHost: a\\r\\n folded\\r\\n\\r\\n ~ 400 ~ folded",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Content-Length: 3\\r"
            + "\\n"
            + "Transfer-Encoding: chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " ~ 400 ~ both",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Content-Length: 3\\r"
            + "\\n"
            + "Content-Length: 4\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " ~ 400 ~ Content-Length",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Content-Length: +3\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " ~ 400 ~ Content-Length",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Content-Length: 99999999999999999999\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " ~ 400 ~ Content-Length",
        "POST / HTTP/1.1\\r\\nHost: a\\r\\nContent-Length: 51\\r\\n\\r\\n ~ 413 ~ over 50",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Transfer-Encoding: gzip, chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + " ~ 501 ~ gzip",
        "POST / HTTP/1.0\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n ~ 400 ~ HTTP/1.0",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Transfer-Encoding: chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + "xyz\\r"
            + "\\n"
            + " ~ 400 ~ chunk size",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Transfer-Encoding: chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + "1\\r"
            + "\\n"
            + "ab ~ 400 ~ longer",
        "POST / HTTP/1.1\\r"
            + "\\n"
            + "Host: a\\r"
            + "\\n"
            + "Transfer-Encoding: chunked\\r"
            + "\\n"
            + "\\r"
            + "\\n"
            + "ffffffffffffffff\\r"
            + "\\n"
            + " ~ 400 ~ chunk size",
      })
  void malformedOrAmbiguousRequestIsRejected(String text, int status, String expectedWord) {
    String bytes = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\u0001", "\u0001");
    HttpEvent.Malformed rejection = rejection(requests(bytes));
    assertEquals(status, rejection.status(), rejection.reason());
    assertTrue(rejection.reason().contains(expectedWord), rejection.reason());
  }

  @Test
  void messageSizesAreLimited() {
    assertEquals(414, rejection(requests("GET /" + "x".repeat(200))).status());
    assertEquals(431, rejection(requests("GET / HTTP/1.1\r\nA: " + "x".repeat(200))).status());
    assertEquals(
        431, rejection(requests("GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(9) + "\r\n")).status());
    assertEquals(
        431,
        rejection(requests("GET / HTTP/1.1\r\n" + ("A: " + "y".repeat(90) + "\r\n").repeat(4)))
            .status());
    assertEquals(
        413,
        rejection(
                requests(
                    "POST / HTTP/1.1\r\n"
                        + HOST
                        + "Transfer-Encoding: chunked\r\n\r\n40\r\n"
                        + "z".repeat(64)))
            .status());
    assertEquals(
        413,
        rejection(
                requests(
                    "POST / HTTP/1.1\r\n"
                        + HOST
                        + "Transfer-Encoding: chunked\r\n\r\nb2d05e00\r\n"))
            .status());
  }

  @Test
  void rejectionIsTheLastEvent() {
    List<Object> events = requests("BAD\r\n\r\nGET / HTTP/1.1\r\n" + HOST + "\r\n");
    rejection(events);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 200 OK\r\n\r\nuntil close", "HTTP/1.0 200 OK\r\n\r\nuntil close"})
  void responseWithoutLengthEndsAtTheClose(String text) {
    assertTrue(joined(responses(text, true)).endsWith("until close|End[]"));
  }

  @Test
  void responsesAreDelimitedByTheirFraming() {
    assertTrue(
        joined(responses("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", false))
            .contains("status=204"));
    assertEquals(
        400,
        rejection(responses("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true)).status());
    assertEquals(
        400,
        rejection(
                responses(
                    "HTTP/1.1 200 OK\r\n" + "Transfer-Encoding: chunked\r\n\r\n" + "5\r\n" + "ab",
                    true))
            .status());
    assertEquals(502, rejection(responses("HTP/1.1 200 OK\r\n", false)).status());
    assertEquals(502, rejection(responses("HTTP/1.1 999999 OK\r\n", false)).status());
  }

  /** No input makes the decoder throw, and a rejection is always its last event. */
  @Property(tries = 2_000, seed = "20261201")
  void arbitraryBytesDoNotBreakTheDecoder(@ForAll byte[] bytes, @ForAll long seed) {
    Random random = new Random(seed);
    byte[] base =
        ("POST /a HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream mixed = new ByteArrayOutputStream();
    mixed.write(base, 0, random.nextInt(base.length));
    mixed.writeBytes(bytes);
    mixed.write(base, 0, base.length);
    for (HttpDecoder decoder :
        List.of(HttpDecoder.forRequests(SMALL_LIMITS), HttpDecoder.forResponses(SMALL_LIMITS))) {
      List<Object> events = decode(decoder, mixed.toByteArray(), 1 + random.nextInt(20));
      decoder.end(events);
      long rejections =
          events.stream().filter(event -> event instanceof HttpEvent.Malformed).count();
      assertTrue(rejections <= 1);
      assertTrue(rejections == 0 || events.get(events.size() - 1) instanceof HttpEvent.Malformed);
    }
  }

  /** The decoder restores what the encoder wrote. */
  @Property(tries = 500, seed = "20261201")
  void encodedRequestsAreDecodedUnchanged(@ForAll byte[] arbitrary, @ForAll long seed) {
    byte[] body = arbitrary.length > 50 ? java.util.Arrays.copyOf(arbitrary, 50) : arbitrary;
    ByteBuffer encoded = HttpEncoder.request("POST", "/x", Headers.of("Host", "h"), body);
    byte[] bytes = new byte[encoded.remaining()];
    encoded.get(bytes);
    List<Object> events =
        decode(HttpDecoder.forRequests(SMALL_LIMITS), bytes, 1 + new Random(seed).nextInt(30));
    ByteArrayOutputStream decodedBody = new ByteArrayOutputStream();
    events.forEach(
        event -> {
          if (event instanceof Content content) {
            decodedBody.writeBytes(content.bytes());
          }
        });
    org.junit.jupiter.api.Assertions.assertArrayEquals(body, decodedBody.toByteArray());
    assertInstanceOf(HttpEvent.End.class, events.get(events.size() - 1));
  }
}
