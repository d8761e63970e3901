package lemondock.emulator;

import lemondock.net.http.HttpRequest;

/**
 * Where work comes from.
 *
 * @param requestId the id under which the gateway sent it, empty if none
 * @param mark the client's mark in the prompt, empty if none
 * @param gateway the sender's name
 */
record TrafficSource(String requestId, String mark, String gateway) {
  /** For events that belong to no request. */
  static final TrafficSource NONE = new TrafficSource("", "", "");

  /**
   * The sender's name: the comment at the end of its User-Agent, or all of the header if it has no
   * comment.
   */
  static String gatewayOf(HttpRequest request) {
    String agent = request.headers().firstValue("user-agent").orElse("null");
    int open = agent.indexOf('(');
    if (open < 0 || !agent.endsWith(")")) {
      return agent;
    }
    return agent.substring(open + 1, agent.length() - 1);
  }
}
