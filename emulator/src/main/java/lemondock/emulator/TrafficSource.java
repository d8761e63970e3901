package lemondock.emulator;

import lemondock.net.http.HttpRequest;

/**
 * The request, call and gateway that an event belongs to.
 *
 * @param requestId the id under which the gateway sent the work, empty if none
 * @param mark the mark that the client put into the prompt ({@code #MARK#}), empty if none
 * @param gateway the sender's name
 */
record TrafficSource(String requestId, String mark, String gateway) {
  /** The source of events that belong to no request. */
  static final TrafficSource NONE = new TrafficSource("", "", "");

  /**
   * Returns the sender's name: the comment at the end of its User-Agent header, or the whole header
   * if it has no comment.
   */
  static String parseGateway(HttpRequest request) {
    String agent = request.headers().firstValue("user-agent").orElse("null");
    int openingParenthesis = agent.indexOf('(');
    if (openingParenthesis < 0 || !agent.endsWith(")")) {
      return agent;
    }
    return agent.substring(openingParenthesis + 1, agent.length() - 1);
  }
}
