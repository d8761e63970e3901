package lemondock.faultinjection;

/**
 * What a fleet is made of.
 *
 * @param releaseWithinMs the settings' limit on what is held
 * @param deadlineMs the classes' deadline
 * @param clientsPerGateway usual clients of each gateway
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
  static final long WARM_UP_MS = 3_000;
  static final double COLD_SHARE = 0.3;
  static final double OVERLOAD_FACTOR = 2.5;
  static final long OVERLOAD_WINDOW_MS = 1_000;
  static final long LONGEST_GRACE_MS = 3_000;
  static final long KILL_AFTER_MS = 700;

  /** When SIGKILL may follow SIGTERM at the earliest. */
  long killAfterMs() {
    return Math.min(deadlineMs, LONGEST_GRACE_MS) + KILL_AFTER_MS;
  }

  /** A gateway's configuration. */
  String config(String name, int port, String discovery, String known, long seed) {
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
            discovery,
            seed,
            known,
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
