package lemondock.anomaly;

/**
 * A unit of observation: a request class and the zone that received its requests, or a server role
 * and the zone of its servers.
 *
 * @param name name of the class or role; {@link DegradationDetector#ALL} for all classes together
 * @param zone name of the zone
 */
public record ServiceScope(String name, String zone) {}
