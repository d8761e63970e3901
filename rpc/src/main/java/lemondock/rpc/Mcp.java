package lemondock.rpc;

import java.util.List;

/** Names and versions of the Model Context Protocol and of its Streamable HTTP transport. */
public final class Mcp {
  /** Supported protocol versions, newest first. */
  public static final List<String> VERSIONS = List.of("2025-11-25", "2025-06-18", "2025-03-26");

  /**
   * The version assumed for a request without a version header, as the transport's specification
   * says.
   */
  public static final String DEFAULT_VERSION = "2025-03-26";

  /** The only version with batches. */
  public static final String BATCH_VERSION = "2025-03-26";

  /** The first version whose streams begin with an empty event that carries an id. */
  public static final String FIRST_VERSION_WITH_PRIMING_EVENT = "2025-11-25";

  /** Header field: the session of a request. */
  public static final String SESSION_HEADER = "mcp-session-id";

  /** Header field: the protocol version of a request. */
  public static final String VERSION_HEADER = "mcp-protocol-version";

  /** Header field: the last event that a client received on a stream that it resumes. */
  public static final String LAST_EVENT_HEADER = "last-event-id";

  public static final String INITIALIZE = "initialize";
  public static final String INITIALIZED = "notifications/initialized";
  public static final String CANCELLED = "notifications/cancelled";
  public static final String PROGRESS = "notifications/progress";
  public static final String PING = "ping";
  public static final String TOOLS_LIST = "tools/list";
  public static final String TOOLS_CALL = "tools/call";

  /** Error code: the router rejected the call; it is safe to retry. */
  public static final int REJECTED = -32010;

  /** Error code: the call failed; it may have been executed. */
  public static final int FAILED = -32011;

  /** Error code: a limit of the session or of the gateway is reached. */
  public static final int LIMIT = -32012;

  /** Error code: the gateway is shutting down. */
  public static final int STOPPING = -32013;

  private Mcp() {}

  /**
   * Returns the version to use with a client that requests one: the requested version if it is
   * supported, otherwise the newest.
   */
  public static String negotiate(String requested) {
    return VERSIONS.contains(requested) ? requested : VERSIONS.get(0);
  }
}
