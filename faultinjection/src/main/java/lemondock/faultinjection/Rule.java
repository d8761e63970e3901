package lemondock.faultinjection;

/** A rule that every run must keep. */
enum Rule {
  /** Each call gets one final answer in time, and none is lost. */
  LOST,
  /** A non-idempotent call runs at most once, and a rejected one not at all. */
  DUPLICATE,
  /** Draining servers get no new attempts. */
  DRAIN,
  /** Cold servers get no more than their share. */
  SLOW_START,
  /** Reserved states are taken or released in time. */
  HELD,
  /** Servers are told no later deadline than the call has. */
  DEADLINE_TOLD,
  /** No attempt begins for a client that has left. */
  BEGUN_AFTER_LEAVING,
  /** Gateways end only when they are told to, and then with 0. */
  CRASH
}
