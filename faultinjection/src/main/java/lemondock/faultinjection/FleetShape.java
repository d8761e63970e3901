package lemondock.faultinjection;

/**
 * The size of a fleet and the settings of its gateways that vary between runs.
 *
 * @param releaseWithinMs the configured limit on how long a state may stay reserved without being
 *     taken
 * @param deadlineMs the deadline of the request classes
 * @param clientsPerGateway the usual number of clients of each gateway
 * @param idleMs how long servers keep idle connections, according to the gateways' configuration
 * @param drainGraceMs how long a server may still get attempts after it is listed as draining
 * @param pace how the writers stream their answers
 */
record FleetShape(
    int gateways,
    int readers,
    int writers,
    long releaseWithinMs,
    long deadlineMs,
    int clientsPerGateway,
    long idleMs,
    long drainGraceMs,
    StreamPace pace) {
  /** How long a server takes from its start until it has its full capacity. */
  static final long WARM_UP_MS = 3_000;

  /** The fraction of its full capacity that a server has when it starts. */
  static final double COLD_SHARE = 0.3;

  /** A warm server may get up to this multiple of its capacity within a window. */
  static final double OVERLOAD_FACTOR = 2.5;

  static final long OVERLOAD_WINDOW_MS = 1_000;
  private static final long LATENCY_OBJECTIVE_MS = 1_000;
  private static final long MAX_SHUTDOWN_GRACE_MS = 3_000;
  private static final long KILL_SLACK_MS = 700;

  /** Creates a shape whose writers stream at the usual pace. */
  FleetShape(
      int gateways,
      int readers,
      int writers,
      long releaseWithinMs,
      long deadlineMs,
      int clientsPerGateway,
      long idleMs,
      long drainGraceMs) {
    this(
        gateways,
        readers,
        writers,
        releaseWithinMs,
        deadlineMs,
        clientsPerGateway,
        idleMs,
        drainGraceMs,
        StreamPace.USUAL);
  }

  /** The same shape with other deadlines and another pace of the writers. */
  FleetShape with(long newDeadlineMs, StreamPace newPace) {
    return new FleetShape(
        gateways,
        readers,
        writers,
        releaseWithinMs,
        newDeadlineMs,
        clientsPerGateway,
        idleMs,
        drainGraceMs,
        newPace);
  }

  /** The shortest time between SIGTERM and SIGKILL, in milliseconds. */
  long killAfterMs() {
    return Math.min(deadlineMs, MAX_SHUTDOWN_GRACE_MS) + KILL_SLACK_MS;
  }

  /**
   * Formats a gateway's configuration as JSON.
   *
   * @param discoveryAddress HOST:PORT of the gateway's discovery agent
   * @param knownServers the endpoint list that the gateway starts with, as JSON
   */
  String config(String name, int port, String discoveryAddress, String knownServers, long seed) {
    return """
    {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
     "limits":{"cores":1.0,"memory_mb":96,"sockets":384},"known":%s,
     "settings":{"me":0,"siblings":%d,"skus":["r","w"],"resolution-ms":2,"tenants":[],
      "classes":[{"name":"chat","goal-time-ms":%d,"deadline-ms":%d,"credit":1,"late-worth":0.2,"repeat":"repeatable"},
       {"name":"pay","goal-time-ms":%d,"deadline-ms":%d,"credit":2,"late-worth":0.2,"repeat":"once"}],
      "limits":{"max-attempts":4,"cancel":true,"connect-timeout-ms":250,"retry-after":true,"max-retry-after-ms":2000,
       "conn-idle-ms":%d},
      "obligations":{"answer-slack-ms":8,"stop-sending-within-ms":%d,"warm-up-ms":%d,"cold-share":%s,"overload-factor":%s,
       "fall-ms":%d},
      "specifics":{"duty-by-kind":["read","write"],"memory-tokens":[100000,100000],"token-aim-ms":[60,60],
       "release-within-ms":%d}}}
    """
        .formatted(
            name,
            port,
            discoveryAddress,
            seed,
            knownServers,
            gateways,
            Math.min(LATENCY_OBJECTIVE_MS, deadlineMs),
            deadlineMs,
            Math.min(LATENCY_OBJECTIVE_MS, deadlineMs),
            deadlineMs,
            idleMs,
            drainGraceMs,
            WARM_UP_MS,
            COLD_SHARE,
            OVERLOAD_FACTOR,
            OVERLOAD_WINDOW_MS,
            releaseWithinMs);
  }
}
