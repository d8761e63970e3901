package lemondock.net.http;

import static lemondock.net.http.ProtocolViolation.require;

import java.util.List;

/**
 * Start line and header fields of a message; each line is validated strictly when it is added. Not
 * thread-safe.
 */
final class MessageHead {
  /** Value of {@link #contentLength} if the message states none. */
  static final long NO_LENGTH = -1;

  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private final boolean request;
  private final HttpLimits limits;
  private final String[] startLine;
  private final Headers headers = new Headers();
  private int headerBytes;

  /**
   * Parses a start line.
   *
   * @param request whether the line is a request line; else it is a status line
   * @throws ProtocolViolation if the line is malformed
   */
  MessageHead(boolean request, HttpLimits limits, String startLine) {
    this.request = request;
    this.limits = limits;
    this.startLine = startLine.split(" ", 3);
    if (request) {
      checkRequestLine();
    } else {
      checkStatusLine();
    }
  }

  private void checkRequestLine() {
    require(
        startLine.length == 3 && isToken(startLine[0]) && !startLine[1].isEmpty(),
        400,
        "no request line");
    require(
        startLine[1].chars().allMatch(c -> c > ' ' && c < 0x7f),
        400,
        "the target holds a control character");
    require(startLine[2].startsWith("HTTP/"), 400, "no HTTP version in the request line");
    require(isHttp1(startLine[2]), 505, "not HTTP/1");
  }

  private void checkStatusLine() {
    require(
        startLine.length >= 2 && isHttp1(startLine[0]) && startLine[1].matches("[1-9][0-9][0-9]"),
        502,
        "malformed status line");
  }

  private static boolean isHttp1(String version) {
    return version.equals("HTTP/1.1") || version.equals("HTTP/1.0");
  }

  /** Parses and adds a header field line, whose bytes {@link #countField} has counted. */
  void addField(String line) {
    require(line.charAt(0) != ' ' && line.charAt(0) != '\t', 400, "a folded header field");
    int colon = line.indexOf(':');
    require(colon > 0 && isToken(line.substring(0, colon)), 400, "a header field without a name");
    String value = line.substring(colon + 1).strip();
    require(
        value.chars().allMatch(c -> c >= ' ' && c != 0x7f || c == '\t'),
        400,
        "a control character in a header field");
    headers.add(line.substring(0, colon), value);
  }

  /** Counts the bytes of a header or trailer field line against the limits. */
  void countField(int bytes) {
    headerBytes += bytes;
    require(
        headerBytes <= limits.maxHeaderBytes(),
        431,
        "header fields of over " + limits.maxHeaderBytes() + " bytes");
    require(
        headers.size() < limits.maxHeaderFields(),
        431,
        "more than " + limits.maxHeaderFields() + " header fields");
  }

  /** Bytes of the target or status and of the header and trailer field lines so far. */
  int bytes() {
    return startLine[1].length() + headerBytes;
  }

  String method() {
    return startLine[0];
  }

  String target() {
    return startLine[1];
  }

  int status() {
    return Integer.parseInt(startLine[1]);
  }

  Headers headers() {
    return headers;
  }

  boolean isHttp10() {
    return (request ? startLine[2] : startLine[0]).equals("HTTP/1.0");
  }

  boolean keepAlive() {
    return !headers.containsToken("connection", "close")
        && (!isHttp10() || headers.containsToken("connection", "keep-alive"));
  }

  /**
   * Whether the content has chunked coding.
   *
   * @throws ProtocolViolation if it has another transfer coding
   */
  boolean isChunked() {
    List<String> codings = headers.allValues("transfer-encoding");
    if (codings.isEmpty()) {
      return false;
    }
    require(!isHttp10(), 400, "a transfer coding in HTTP/1.0");
    require(
        codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked"),
        501,
        "transfer coding " + codings + " is not spoken");
    return true;
  }

  /**
   * The stated content length in bytes; {@link #NO_LENGTH} if there is none.
   *
   * @throws ProtocolViolation if the field is repeated or not a number
   */
  long contentLength() {
    List<String> lengths = headers.allValues("content-length");
    if (lengths.isEmpty()) {
      return NO_LENGTH;
    }
    require(
        lengths.size() == 1 && lengths.get(0).matches("[0-9]{1,18}"),
        400,
        "Content-Length is not one number: " + lengths);
    return Long.parseLong(lengths.get(0));
  }

  private static boolean isToken(String text) {
    return !text.isEmpty()
        && text.chars()
            .allMatch(
                c -> c < 0x7f && (Character.isLetterOrDigit(c) || TOKEN_SYMBOLS.indexOf(c) >= 0));
  }
}
