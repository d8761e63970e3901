package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;

/** Fetches reserved states from other emulated engines. Loop thread only. */
final class StateFetcher {
  /** The path at which engines hand out states; the protocol of real transfers is not emulated. */
  static final String PATH = "/standin/state";

  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int MAX_PORT = 65_535;

  private final HttpClient client;

  StateFetcher(Loop loop, Network network) {
    client =
        new HttpClient(
            loop,
            network,
            new HttpClientOptions(
                HttpLimits.DEFAULT, 1024, 256, MICROS_PER_SECOND / 4, 15 * MICROS_PER_SECOND));
  }

  /** Whether the {@code kv_transfer_params} contain a host and a valid port. */
  static boolean hasAddress(JsonNode transferParams) {
    int port = port(transferParams);
    return !host(transferParams).isEmpty() && port > 0 && port <= MAX_PORT;
  }

  private static String host(JsonNode transferParams) {
    return transferParams.path("remote_host").asText("");
  }

  private static int port(JsonNode transferParams) {
    return transferParams.path("remote_port").asInt(0);
  }

  /**
   * Fetches the state that the {@code kv_transfer_params} refer to.
   *
   * @param onResult receives true if the state was fetched, false if it is missing or the call
   *     failed
   */
  void fetch(JsonNode transferParams, Consumer<Boolean> onResult) {
    String host = host(transferParams);
    String requestId = transferParams.path("remote_request_id").asText("");
    byte[] body =
        EngineMessages.bytes(JsonNodeFactory.instance.objectNode().put("request_id", requestId));
    Headers headers = Headers.of("host", host, "content-type", "application/json");
    client.send(
        new InetSocketAddress(host, port(transferParams)),
        HttpEncoder.request("POST", PATH, headers, body),
        new ResponseReceiver() {
          private int status;

          @Override
          public void onHead(HttpEvent.ResponseHead head) {
            status = head.status();
          }

          @Override
          public void onComplete() {
            onResult.accept(status == 200);
          }

          @Override
          public void onFailure(RequestFailure failure, String detail) {
            onResult.accept(false);
          }
        });
  }
}
