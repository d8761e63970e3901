package lemondock.gateway.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.policy.ServerLifecycle;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointListCodecTest {
  @Test
  void parsesConsulsHealthResponse() throws EndpointListCodec.MalformedListException {
    String text =
        "[{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\"w1\",\"Address\":\"\",\"Port\":80,"
            + "\"Meta\":{\"kind\":\"writer\",\"zone\":\"z\",\"rack\":\"r\",\"started\":\"12\"},\"Weights\":{\"Passing\":3}},"
            + "\"Checks\":[{\"CheckID\":\"_service_maintenance:w1\",\"Status\":\"critical\"}]},"
            + "{\"Service\":{\"ID\":\"w2\",\"Address\":\"127.0.0.2\",\"Port\":81,\"Meta\":{\"kind\":\"writer\"}},"
            + "\"Checks\":[{\"CheckID\":\"tcp\",\"Status\":\"critical\"}]}]";
    List<Endpoint> endpoints = EndpointListCodec.parseConsul(text.getBytes(StandardCharsets.UTF_8));
    assertEquals(ServerLifecycle.DRAINING, endpoints.get(0).lifecycle());
    assertEquals(3, endpoints.get(0).weight());
    assertEquals(12, endpoints.get(0).startedAtMillis());
    assertEquals(ServerLifecycle.GONE, endpoints.get(1).lifecycle());
  }

  @Test
  void parsesItsOwnOutput() throws EndpointListCodec.MalformedListException {
    List<Endpoint> endpoints =
        List.of(
            new Endpoint(
                "a",
                new InetSocketAddress("127.0.0.1", 9000),
                "reader",
                "north",
                "r1",
                ServerLifecycle.DRAINING,
                1,
                77));
    assertEquals(endpoints, EndpointListCodec.parseFile(EndpointListCodec.formatFile(endpoints)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      value = {
        "nonsense ~ expected JSON",
        "{\"servers\":1} ~ /servers: expected an array",
        "{\"servers\":[{\"name\":\"\"}]} ~ /servers/0/name: expected a non-empty string",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"x\",\"kind\":\"k\"}]} ~"
            + " /servers/0/address: expected HOST:PORT",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"kind\":\"k\",\"weight\":-1}]}"
            + " ~ expected a weight",
        "{\"servers\":[{\"name\":\"a\",\"address\":\"127.0.0.1:1\",\"kind\":\"k\",\"standing\":\"x\"}]}"
            + " ~ /servers/0/standing",
      })
  void reportsPointerAndExpectationOfAMalformedList(String text, String problem) {
    String message =
        assertThrows(
                EndpointListCodec.MalformedListException.class,
                () -> EndpointListCodec.parseFile(text.getBytes(StandardCharsets.UTF_8)))
            .getMessage();
    assertTrue(message.contains(problem), message);
  }
}
