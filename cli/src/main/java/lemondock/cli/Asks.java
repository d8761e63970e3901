package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Asks gateways' status ports. */
final class Asks {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration PATIENCE = Duration.ofSeconds(3);
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(PATIENCE).build();

  private Asks() {}

  /** What a gateway answers; {@code at} is HOST:PORT or a URL. */
  static JsonNode get(String at, String path) throws IOException, InterruptedException {
    String url = (at.contains("://") ? at : "http://" + at) + path;
    try {
      HttpResponse<byte[]> answer =
          HTTP.send(
              HttpRequest.newBuilder(URI.create(url)).timeout(PATIENCE).build(),
              HttpResponse.BodyHandlers.ofByteArray());
      if (answer.statusCode() != 200) {
        throw new IOException(url + " answered " + answer.statusCode());
      }
      return MAPPER.readTree(answer.body());
    } catch (IllegalArgumentException e) {
      throw new IOException(at + ": expected HOST:PORT or a URL");
    } catch (IOException e) {
      throw new IOException(url + ": " + (e.getMessage() == null ? e : e.getMessage()), e);
    }
  }
}
