package lemondock.faultinjection;

/** The faults that a plan may contain. The order is part of what a seed draws. */
enum FaultKind {
  /** Most writers fall silent together; what was sent arrives late or never. */
  SILENT_WRITERS,
  /** Most readers fall silent together. */
  SILENT_READERS,
  /** A gateway's zone is cut from the other zones. */
  ZONE_CUT,
  /** Some links carry requests and hold the answers. */
  ANSWERS_HELD,
  /** Some links hold requests and carry the answers. */
  REQUESTS_HELD,
  /** Some links are reset again and again. */
  RESETS,
  /** Some links are slow. */
  SLOW_LINKS,
  /** Some links refuse connections. */
  REFUSED,
  /** Some links let connections come up without a far side. */
  HALF_OPEN,
  /** Some servers accept connections and take nothing. */
  SERVERS_HANG,
  /** A server dies and comes back cold. */
  SERVER_RESTARTS,
  /** Some servers are listed as draining. */
  SERVERS_DRAIN,
  /** A gateway's discovery says nothing. */
  DISCOVERY_SILENT,
  /** A gateway's discovery resets its connections. */
  DISCOVERY_RESET,
  /** A gateway gets SIGTERM, then SIGKILL if it has not ended in time, and is started again. */
  GATEWAY_TERMINATED,
  /** A gateway gets SIGKILL and is started again. */
  GATEWAY_KILLED,
  /** A gateway gets SIGSTOP for a moment, again and again. */
  GATEWAY_FREEZES,
  /** A gateway gets a new configuration and SIGHUP. */
  GATEWAY_RELOADS,
  /** A gateway's wall clock steps. */
  CLOCK_STEP,
  /** A gateway's system calls fail. */
  CALLS_FAIL,
  /** A gateway's reads and writes are interrupted and short. */
  CALLS_INTERRUPTED
}
