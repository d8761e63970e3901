package lemondock.anomaly;

/**
 * What is observed as one: a request class and the zone in which its requests came in, or a role
 * and the zone of the servers that have it.
 *
 * @param name name of the class or role; {@link DegradationDetector#ALL} for all classes together
 * @param zone name of the zone
 */
public record ServiceScope(String name, String zone) {}
