package lemondock.net.http;

import java.util.Arrays;
import java.util.Optional;

/**
 * A complete request as a server received it.
 *
 * @param method the request method as sent, such as {@code GET}
 * @param target the request target: path and query, not decoded
 * @param headers all header fields
 * @param body the content with its framing removed; empty if there is none
 * @param arrivedMicros estimate of when its last byte arrived, in microseconds of the loop's clock:
 *     at most some hundredths of a second too late, and too early if this process was delayed
 */
public record HttpRequest(
    String method, String target, Headers headers, byte[] body, long arrivedMicros) {
  private static final byte[] NO_BODY = new byte[0];

  /** The target without its query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** The first value of a query parameter, not decoded. */
  public Optional<String> queryParameter(String name) {
    int query = target.indexOf('?');
    if (query < 0) {
      return Optional.empty();
    }
    return Arrays.stream(target.substring(query + 1).split("&"))
        .filter(pair -> pair.startsWith(name + "="))
        .findFirst()
        .map(pair -> pair.substring(name.length() + 1));
  }

  HttpRequest withoutBody() {
    return new HttpRequest(method, target, headers, NO_BODY, arrivedMicros);
  }
}
