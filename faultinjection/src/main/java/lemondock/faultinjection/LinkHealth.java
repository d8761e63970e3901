package lemondock.faultinjection;

/** Tells in which periods the link from a gateway to a server worked. */
@FunctionalInterface
interface LinkHealth {
  /** Whether no fault disturbed the link or its gateway's system calls in that period. */
  boolean isHealthyBetween(String gatewayName, String serverId, long fromMicros, long untilMicros);
}
