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
  private static final HttpLimits SMALL = new HttpLimits(100, 300, 8, 50);
  private static final String HOST = "Host: a\r\n";

  /** A piece of content, where it came among the events. */
  private record Data(byte[] bytes) {}

  private static List<Object> requests(String text) {
    return decode(
        HttpDecoder.forRequests(SMALL), text.getBytes(StandardCharsets.ISO_8859_1), text.length());
  }

  private static List<Object> responses(String text, boolean ends) {
    HttpDecoder decoder = HttpDecoder.forResponses(SMALL);
    List<Object> events =
        decode(decoder, text.getBytes(StandardCharsets.ISO_8859_1), text.length());
    if (ends) {
      decoder.end(events);
    }
    return events;
  }

  private static List<Object> decode(HttpDecoder decoder, byte[] bytes, int step) {
    List<Object> events = new ArrayList<>();
    decoder.withContentSink(
        piece -> {
          byte[] copy = new byte[piece.remaining()];
          piece.get(copy);
          events.add(new Data(copy));
        });
    for (int at = 0; at < bytes.length; at += step) {
      decoder.decode(ByteBuffer.wrap(bytes, at, Math.min(step, bytes.length - at)), events);
    }
    return events;
  }

  /**
   * What was found, with pieces of content joined, so that it does not depend on how bytes were
   * split.
   */
  private static String joined(List<Object> events) {
    StringBuilder text = new StringBuilder();
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    for (Object e : events) {
      if (e instanceof Data d) {
        data.writeBytes(d.bytes());
      } else if (!(e instanceof HttpEvent.Began)) {
        text.append(data.toString(StandardCharsets.ISO_8859_1)).append('|');
        data.reset();
        text.append(e instanceof HttpEvent.Malformed m ? "malformed " + m.status() : e.toString());
      }
    }
    return text.append(data.toString(StandardCharsets.ISO_8859_1)).toString();
  }

  private static HttpEvent.Malformed refused(List<Object> events) {
    return assertInstanceOf(HttpEvent.Malformed.class, events.get(events.size() - 1));
  }

  @Test
  void pipelinedRequestsSplitAnywhereAreTheSame() {
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
    String whole = joined(decode(HttpDecoder.forRequests(SMALL), bytes, bytes.length));
    assertTrue(whole.contains("hello|End") && whole.contains("abcde|End"), whole);
    for (int step = 1; step < bytes.length; step++) {
      assertEquals(whole, joined(decode(HttpDecoder.forRequests(SMALL), bytes, step)));
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
  void whatTwoImplementationsCouldReadDifferentlyIsRefused(String text, int status, String word) {
    String bytes = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\u0001", "\u0001");
    HttpEvent.Malformed refused = refused(requests(bytes));
    assertEquals(status, refused.status(), refused.reason());
    assertTrue(refused.reason().contains(word), refused.reason());
  }

  @Test
  void sizesAreBounded() {
    assertEquals(414, refused(requests("GET /" + "x".repeat(200))).status());
    assertEquals(431, refused(requests("GET / HTTP/1.1\r\nA: " + "x".repeat(200))).status());
    assertEquals(
        431, refused(requests("GET / HTTP/1.1\r\n" + "A: b\r\n".repeat(9) + "\r\n")).status());
    assertEquals(
        431,
        refused(requests("GET / HTTP/1.1\r\n" + ("A: " + "y".repeat(90) + "\r\n").repeat(4)))
            .status());
    assertEquals(
        413,
        refused(
                requests(
                    "POST / HTTP/1.1\r\n"
                        + HOST
                        + "Transfer-Encoding: chunked\r\n\r\n40\r\n"
                        + "z".repeat(64)))
            .status());
    assertEquals(
        413,
        refused(
                requests(
                    "POST / HTTP/1.1\r\n"
                        + HOST
                        + "Transfer-Encoding: chunked\r\n\r\nb2d05e00\r\n"))
            .status());
  }

  @Test
  void nothingFollowsARefusal() {
    List<Object> events = requests("BAD\r\n\r\nGET / HTTP/1.1\r\n" + HOST + "\r\n");
    refused(events);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.1 200 OK\r\n\r\nuntil close", "HTTP/1.0 200 OK\r\n\r\nuntil close"})
  void aResponseWithoutALengthLastsUntilTheClose(String text) {
    assertTrue(joined(responses(text, true)).endsWith("until close|End[]"));
  }

  @Test
  void responsesAreFramed() {
    assertTrue(
        joined(responses("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", false))
            .contains("status=204"));
    assertEquals(
        400, refused(responses("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true)).status());
    assertEquals(
        400,
        refused(
                responses(
                    "HTTP/1.1 200 OK\r\n" + "Transfer-Encoding: chunked\r\n\r\n" + "5\r\n" + "ab",
                    true))
            .status());
    assertEquals(502, refused(responses("HTP/1.1 200 OK\r\n", false)).status());
    assertEquals(502, refused(responses("HTTP/1.1 999999 OK\r\n", false)).status());
  }

  /** No bytes make the decoder throw, and a refusal is always the last thing it finds. */
  @Property(tries = 2_000, seed = "20261201")
  void anyBytesAreSurvived(@ForAll byte[] bytes, @ForAll long seed) {
    Random random = new Random(seed);
    byte[] base =
        ("POST /a HTTP/1.1\r\n" + HOST + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    ByteArrayOutputStream mixed = new ByteArrayOutputStream();
    mixed.write(base, 0, random.nextInt(base.length));
    mixed.writeBytes(bytes);
    mixed.write(base, 0, base.length);
    for (HttpDecoder decoder :
        List.of(HttpDecoder.forRequests(SMALL), HttpDecoder.forResponses(SMALL))) {
      List<Object> events = decode(decoder, mixed.toByteArray(), 1 + random.nextInt(20));
      decoder.end(events);
      long refusals = events.stream().filter(e -> e instanceof HttpEvent.Malformed).count();
      assertTrue(refusals <= 1);
      assertTrue(refusals == 0 || events.get(events.size() - 1) instanceof HttpEvent.Malformed);
    }
  }

  /** What the encoder writes, the decoder reads back. */
  @Property(tries = 500, seed = "20261201")
  void writtenRequestsAreReadBack(@ForAll byte[] given, @ForAll long seed) {
    byte[] body = given.length > 50 ? java.util.Arrays.copyOf(given, 50) : given;
    ByteBuffer out = HttpEncoder.request("POST", "/x", Headers.of("Host", "h"), body);
    byte[] bytes = new byte[out.remaining()];
    out.get(bytes);
    List<Object> events =
        decode(HttpDecoder.forRequests(SMALL), bytes, 1 + new Random(seed).nextInt(30));
    ByteArrayOutputStream got = new ByteArrayOutputStream();
    events.forEach(
        e -> {
          if (e instanceof Data d) {
            got.writeBytes(d.bytes());
          }
        });
    org.junit.jupiter.api.Assertions.assertArrayEquals(body, got.toByteArray());
    assertInstanceOf(HttpEvent.End.class, events.get(events.size() - 1));
  }
}
