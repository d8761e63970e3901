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
  /** A cache file written by commit 6ec0bf3; see the README next to it. */
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

  private EndpointListCache cacheWith(byte[] content) throws IOException {
    Path file = folder.resolve("endpoints.json");
    Files.write(file, content);
    return new EndpointListCache(file.toString());
  }

  @Test
  void readsAListWrittenByCommit6ec0bf3() throws IOException {
    assertEquals(ENDPOINTS, cacheWith(writtenBy6ec0bf3()).read());
  }

  @Test
  void writesTheSameBytesAsCommit6ec0bf3() throws IOException {
    assertArrayEquals(writtenBy6ec0bf3(), EndpointListCodec.formatFile(ENDPOINTS));
  }

  /** A list truncated at any length is treated as missing, as commit 6ec0bf3 does. */
  @Test
  void readsNothingFromATruncatedList() throws IOException {
    byte[] complete = writtenBy6ec0bf3();
    for (int length = 0; length < complete.length; length++) {
      assertEquals(
          List.of(), cacheWith(Arrays.copyOf(complete, length)).read(), "truncated at " + length);
    }
  }

  @Test
  void readsBackItsOutputAndLeavesNoTemporaryFile() throws IOException {
    Path file = folder.resolve("endpoints.json");
    EndpointListCache cache = new EndpointListCache(file.toString());
    cache.write(EndpointListCodec.formatFile(ENDPOINTS));
    assertEquals(ENDPOINTS, cache.read());
    assertFalse(Files.exists(folder.resolve("endpoints.json.next")));
  }

  @Test
  void readsNothingWithoutAFile() {
    assertEquals(List.of(), new EndpointListCache(folder.resolve("none.json").toString()).read());
    assertFalse(new EndpointListCache(null).enabled());
    assertEquals(List.of(), new EndpointListCache(null).read());
  }
}
