package lemondock.faultinjection;

/** Reports whether the link from a gateway to a server worked in a given period. */
@FunctionalInterface
interface LinkHealth {
  /** Whether no fault affected the link or its gateway's system calls in that period. */
  boolean isHealthyBetween(String gatewayName, String serverId, long fromMicros, long untilMicros);
}
