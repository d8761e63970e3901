package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** HTTP client for the status endpoint of a gateway ({@code reporting.listen}). */
final class StatusClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  private StatusClient() {}

  /**
   * Fetches a JSON document.
   *
   * @param gateway HOST:PORT or a URL
   * @throws IOException if the gateway does not answer within 3 s or its status is not 200
   */
  static JsonNode get(String gateway, String path) throws IOException, InterruptedException {
    String url = (gateway.contains("://") ? gateway : "http://" + gateway) + path;
    try {
      HttpResponse<byte[]> response =
          HTTP.send(
              HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).build(),
              HttpResponse.BodyHandlers.ofByteArray());
      if (response.statusCode() != 200) {
        throw new IOException(url + ": expected status 200, got " + response.statusCode());
      }
      return MAPPER.readTree(response.body());
    } catch (IllegalArgumentException e) {
      throw new IOException(gateway + ": expected HOST:PORT or a URL");
    } catch (IOException e) {
      throw new IOException(url + ": " + (e.getMessage() == null ? e : e.getMessage()), e);
    }
  }
}
