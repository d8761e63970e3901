package lemondock.faultinjection;

/** Reports whether the link from a gateway to a server worked in a given period. */
@FunctionalInterface
interface LinkHealth {
  /** Whether no fault affected the link or its gateway's system calls in that period. */
  boolean isHealthyBetween(String gatewayName, String serverId, long fromMicros, long untilMicros);

  /**
   * Whether no fault affected the link in that period, and none of its gateway's system calls
   * failed in a way that ends connections.
   */
  default boolean keepsConnectionsBetween(
      String gatewayName, String serverId, long fromMicros, long untilMicros) {
    return isHealthyBetween(gatewayName, serverId, fromMicros, untilMicros);
  }
}
