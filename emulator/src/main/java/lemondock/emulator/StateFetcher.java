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
  /** Where emulated engines hand out states; the protocol of a real transfer is not emulated. */
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

  /** Whether the {@code kv_transfer_params} name an address. */
  static boolean hasAddress(JsonNode transfer) {
    int port = port(transfer);
    return !host(transfer).isEmpty() && port > 0 && port <= MAX_PORT;
  }

  private static String host(JsonNode transfer) {
    return transfer.path("remote_host").asText("");
  }

  private static int port(JsonNode transfer) {
    return transfer.path("remote_port").asInt(0);
  }

  /** Fetches the state that the {@code kv_transfer_params} name; tells whether it was there. */
  void fetch(JsonNode transfer, Consumer<Boolean> onResult) {
    String host = host(transfer);
    String requestId = transfer.path("remote_request_id").asText("");
    byte[] body =
        EngineMessages.bytes(JsonNodeFactory.instance.objectNode().put("request_id", requestId));
    Headers headers = Headers.of("host", host, "content-type", "application/json");
    client.send(
        new InetSocketAddress(host, port(transfer)),
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
          public void onFailure(RequestFailure failure, String what) {
            onResult.accept(false);
          }
        });
  }
}
