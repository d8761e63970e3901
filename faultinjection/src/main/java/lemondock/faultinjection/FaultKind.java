package lemondock.faultinjection;

/**
 * The faults that a plan may contain. A plan draws a kind by its position, so changing the order
 * changes the plan of every seed.
 */
enum FaultKind {
  /** All writers but one stop responding together; bytes sent meanwhile arrive late or never. */
  SILENT_WRITERS,
  /** All readers but one stop responding together. */
  SILENT_READERS,
  /** A gateway's links to servers in other zones carry nothing. */
  ZONE_CUT,
  /** Some links deliver requests and hold the answers. */
  ANSWERS_HELD,
  /** Some links hold requests and deliver the answers. */
  REQUESTS_HELD,
  /** Some links are reset repeatedly. */
  RESETS,
  /** Some links delay all bytes. */
  SLOW_LINKS,
  /** Some links reset every new connection. */
  REFUSED,
  /** Some links accept connections but do not connect to the server. */
  HALF_OPEN,
  /** Some servers accept connections but process nothing. */
  SERVERS_HANG,
  /** A server crashes and restarts cold. */
  SERVER_RESTARTS,
  /** Some servers are listed as draining. */
  SERVERS_DRAIN,
  /** A gateway's discovery link carries nothing. */
  DISCOVERY_SILENT,
  /** A gateway's discovery link is reset repeatedly. */
  DISCOVERY_RESET,
  /** A gateway gets SIGTERM, then SIGKILL if it has not exited in time, and is restarted. */
  GATEWAY_TERMINATED,
  /** A gateway gets SIGKILL and is restarted. */
  GATEWAY_KILLED,
  /** A gateway is repeatedly stopped for a short time with SIGSTOP and resumed with SIGCONT. */
  GATEWAY_FREEZES,
  /** A gateway gets a new configuration, then SIGHUP. */
  GATEWAY_RELOADS,
  /** A gateway's wall clock jumps forwards or backwards. */
  CLOCK_STEP,
  /** Some of a gateway's socket system calls fail. */
  CALLS_FAIL,
  /**
   * Some of a gateway's socket reads and writes are interrupted, short or fail for a moment, as do
   * registrations for readiness and socket options; no connection is broken by it.
   */
  CALLS_INTERRUPTED
}
