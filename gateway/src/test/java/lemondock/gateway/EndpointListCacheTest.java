package lemondock.gateway;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.discovery.EndpointListCodec;
import lemondock.policy.ServerLifecycle;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointListCacheTest {
  /** What commit 6ec0bf3 wrote; see the README beside it. */
  private static final String WRITTEN_BY_6EC0BF3 = "/lemondock/gateway/endpoint-list-6ec0bf3.json";

  private static final List<Endpoint> ENDPOINTS =
      List.of(
          new Endpoint(
              "reader-1",
              new InetSocketAddress("127.0.0.1", 9101),
              "reader",
              "north",
              "r1",
              ServerLifecycle.READY,
              1,
              1_700_000_000_000L),
          new Endpoint(
              "writer-1",
              new InetSocketAddress("127.0.0.2", 9102),
              "writer",
              "south",
              "r2",
              ServerLifecycle.DRAINING,
              2.5,
              0),
          new Endpoint(
              "mixed-ü",
              new InetSocketAddress("127.0.0.3", 65535),
              "mixed",
              "default",
              "0",
              ServerLifecycle.GONE,
              0.125,
              1_700_000_123_456L));

  @TempDir private Path folder;

  private static byte[] writtenBy6ec0bf3() throws IOException {
    try (InputStream in = EndpointListCacheTest.class.getResourceAsStream(WRITTEN_BY_6EC0BF3)) {
      return in.readAllBytes();
    }
  }

  private EndpointListCache cacheOf(byte[] content) throws IOException {
    Path file = folder.resolve("endpoints.json");
    Files.write(file, content);
    return new EndpointListCache(file.toString());
  }

  @Test
  void restoresFromAListWrittenByCommit6ec0bf3() throws IOException {
    assertEquals(ENDPOINTS, cacheOf(writtenBy6ec0bf3()).read());
  }

  @Test
  void writesTheSameBytesAsCommit6ec0bf3() throws IOException {
    assertArrayEquals(writtenBy6ec0bf3(), EndpointListCodec.formatFile(ENDPOINTS));
  }

  /** Commit 6ec0bf3 takes a list that was cut off, wherever it was, for none. */
  @Test
  void restoresNothingFromAListThatWasCutOff() throws IOException {
    byte[] whole = writtenBy6ec0bf3();
    for (int length = 0; length < whole.length; length++) {
      assertEquals(List.of(), cacheOf(Arrays.copyOf(whole, length)).read(), "cut off at " + length);
    }
  }

  @Test
  void readsBackWhatItWroteAndLeavesNoTemporaryFile() throws IOException {
    Path file = folder.resolve("endpoints.json");
    EndpointListCache cache = new EndpointListCache(file.toString());
    cache.write(EndpointListCodec.formatFile(ENDPOINTS));
    assertEquals(ENDPOINTS, cache.read());
    assertFalse(Files.exists(folder.resolve("endpoints.json.next")));
  }

  @Test
  void restoresNothingWithoutAFile() {
    assertEquals(List.of(), new EndpointListCache(folder.resolve("none.json").toString()).read());
    assertFalse(new EndpointListCache(null).enabled());
    assertEquals(List.of(), new EndpointListCache(null).read());
  }
}
