package lemondock.gateway.mcp;

import java.util.Locale;
import lemondock.net.http.Headers;

/** Media types of requests and of what their clients accept (RFC 9110, section 12.5.1). */
final class ContentNegotiation {
  static final String JSON = "application/json";
  static final String EVENT_STREAM = "text/event-stream";

  private ContentNegotiation() {}

  /** Whether a request's content is JSON. */
  static boolean isJson(Headers headers) {
    return headers
        .firstValue("content-type")
        .filter(type -> withoutParameters(type).equalsIgnoreCase(JSON))
        .isPresent();
  }

  /** Whether a client accepts responses of a type; weights are not looked at. */
  static boolean accepts(Headers headers, String type) {
    String wholeFamily = type.split("/")[0] + "/*";
    for (String value : headers.allValues("accept")) {
      for (String part : value.split(",")) {
        String range = withoutParameters(part).toLowerCase(Locale.ROOT);
        if (range.equals(type) || range.equals("*/*") || range.equals(wholeFamily)) {
          return true;
        }
      }
    }
    return false;
  }

  private static String withoutParameters(String mediaType) {
    return mediaType.split(";")[0].strip();
  }
}
