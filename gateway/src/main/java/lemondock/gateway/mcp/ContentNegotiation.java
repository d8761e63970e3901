package lemondock.gateway.mcp;

import java.util.Locale;
import lemondock.net.http.Headers;

/** Media types of requests and of the responses clients accept (RFC 9110, section 12.5.1). */
final class ContentNegotiation {
  static final String JSON = "application/json";
  static final String EVENT_STREAM = "text/event-stream";

  private ContentNegotiation() {}

  /** Returns whether the content type of a request is JSON. */
  static boolean isJson(Headers headers) {
    return headers
        .firstValue("content-type")
        .filter(type -> withoutParameters(type).equalsIgnoreCase(JSON))
        .isPresent();
  }

  /** Returns whether a client accepts responses of a type; quality values are ignored. */
  static boolean accepts(Headers headers, String type) {
    String typeWildcard = type.split("/")[0] + "/*";
    for (String value : headers.allValues("accept")) {
      for (String element : value.split(",")) {
        String range = withoutParameters(element).toLowerCase(Locale.ROOT);
        if (range.equals(type) || range.equals("*/*") || range.equals(typeWildcard)) {
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
