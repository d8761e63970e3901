package lemondock.faultinjection;

/**
 * The size of a fleet and the settings of its gateways that vary between runs.
 *
 * @param releaseWithinMs the settings' limit on how long a state may be reserved and not taken
 * @param deadlineMs the deadline of the request classes
 * @param clientsPerGateway usual clients of each gateway
 * @param idleMs how long servers keep unused connections, as the gateways are told
 * @param drainGraceMs how long after a server is listed as draining it may still get attempts
 */
record FleetShape(
    int gateways,
    int readers,
    int writers,
    long releaseWithinMs,
    long deadlineMs,
    int clientsPerGateway,
    long idleMs,
    long drainGraceMs) {
  /** How long a server takes after its start until it has its full capacity. */
  static final long WARM_UP_MS = 3_000;

  /** The part of its capacity that a server has when it starts. */
  static final double COLD_SHARE = 0.3;

  /** A warm server may get that many times its capacity within a window. */
  static final double OVERLOAD_FACTOR = 2.5;

  static final long OVERLOAD_WINDOW_MS = 1_000;
  private static final long MAX_SHUTDOWN_GRACE_MS = 3_000;
  private static final long KILL_SLACK_MS = 700;

  /** When SIGKILL may follow SIGTERM at the earliest, in milliseconds. */
  long killAfterMs() {
    return Math.min(deadlineMs, MAX_SHUTDOWN_GRACE_MS) + KILL_SLACK_MS;
  }

  /**
   * Writes a gateway's configuration.
   *
   * @param discoveryAddress HOST:PORT of its discovery agent
   * @param knownServers the endpoint list that it starts with, as JSON
   */
  String config(String name, int port, String discoveryAddress, String knownServers, long seed) {
    return """
    {"name":"%s","listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
     "limits":{"cores":1.0,"memory_mb":96,"sockets":384},"known":%s,
     "settings":{"me":0,"siblings":%d,"skus":["r","w"],"resolution-ms":2,"tenants":[],
      "classes":[{"name":"chat","goal-time-ms":1000,"deadline-ms":%d,"credit":1,"late-worth":0.2,"repeat":"repeatable"},
       {"name":"pay","goal-time-ms":1000,"deadline-ms":%d,"credit":2,"late-worth":0.2,"repeat":"once"}],
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
            deadlineMs,
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
