package lemondock.faultinjection;

/** A rule that every run must satisfy. */
enum Rule {
  /** Each call gets one final answer in time; none is lost, and no attempt begins afterwards. */
  LOST,
  /** A non-idempotent call runs at most once, and not at all if it was rejected. */
  DUPLICATE,
  /** Draining servers get no new attempts once their grace period is over. */
  DRAIN,
  /** Servers that are warming up get no more than their reduced share of calls. */
  SLOW_START,
  /** Reserved states are taken by a write or released in time. */
  HELD,
  /** Gateways state no more remaining time to servers than the call has left. */
  DEADLINE_TOLD,
  /** No attempt begins for a client that has disconnected. */
  BEGUN_AFTER_LEAVING,
  /** A gateway process ends only by a signal, and after SIGTERM with exit code 0. */
  CRASH
}
