package lemondock.rpc;

import java.util.List;

/** Names and versions of the Model Context Protocol and of its Streamable HTTP transport. */
public final class Mcp {
  /** Versions spoken, the newest first. */
  public static final List<String> VERSIONS = List.of("2025-11-25", "2025-06-18", "2025-03-26");

  /** What a request without a version header speaks, by the transport's specification. */
  public static final String DEFAULT_VERSION = "2025-03-26";

  /** The only version with batches. */
  public static final String BATCH_VERSION = "2025-03-26";

  /** The first version whose streams begin with an empty event that carries an id. */
  public static final String FIRST_VERSION_WITH_PRIMING_EVENT = "2025-11-25";

  public static final String SESSION_HEADER = "mcp-session-id";
  public static final String VERSION_HEADER = "mcp-protocol-version";
  public static final String LAST_EVENT_HEADER = "last-event-id";

  public static final String INITIALIZE = "initialize";
  public static final String INITIALIZED = "notifications/initialized";
  public static final String CANCELLED = "notifications/cancelled";
  public static final String PROGRESS = "notifications/progress";
  public static final String PING = "ping";
  public static final String TOOLS_LIST = "tools/list";
  public static final String TOOLS_CALL = "tools/call";

  /** The router took the call and turned it away: trying again is harmless. */
  public static final int REJECTED = -32010;

  /** The call failed; it may have had its effect. */
  public static final int FAILED = -32011;

  /** The session is at one of its limits. */
  public static final int LIMIT = -32012;

  /** The gateway is stopping. */
  public static final int STOPPING = -32013;

  private Mcp() {}

  /** The version to speak with a client that asks for one: the same if known, else the newest. */
  public static String negotiate(String asked) {
    return VERSIONS.contains(asked) ? asked : VERSIONS.get(0);
  }
}
