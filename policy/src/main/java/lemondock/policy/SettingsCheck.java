package lemondock.policy;

import java.util.List;

/** Validates the settings of a router. */
final class SettingsCheck {
  private SettingsCheck() {}

  /**
   * Validates all settings.
   *
   * @throws InvalidRouterInputException for the first setting that cannot be used
   */
  static void check(RouterSettings settings) {
    requireNonEmpty("classes", settings.classes());
    requireNonEmpty("serverKinds", settings.serverKinds());
    int maxAttempts = settings.limits().maxAttempts();
    if (maxAttempts <= 0) {
      throw new InvalidRouterInputException(
          "limits.maxAttempts",
          maxAttempts,
          "limits.maxAttempts is " + maxAttempts + ", expected at least one attempt per request");
    }
    for (int id = 0; id < settings.classes().size(); id++) {
      checkClass(id, settings.classes().get(id));
    }
  }

  private static void requireNonEmpty(String field, List<?> values) {
    if (values.isEmpty()) {
      throw new InvalidRouterInputException(
          field, values, field + " is empty, expected at least one entry");
    }
  }

  private static void checkClass(int id, RequestClass requestClass) {
    long objectiveMicros = requestClass.latencyObjectiveMicros();
    long deadlineMicros = requestClass.deadlineMicros();
    if (objectiveMicros <= 0) {
      throw invalidObjective(id, "latencyObjectiveMicros", objectiveMicros);
    }
    if (deadlineMicros < objectiveMicros) {
      throw invalidObjective(id, "deadlineMicros", deadlineMicros);
    }
  }

  private static InvalidRouterInputException invalidObjective(
      int classId, String field, long micros) {
    return new InvalidRouterInputException(
        "classes[" + classId + "]." + field,
        micros,
        "request class "
            + classId
            + ": "
            + field
            + " is "
            + micros
            + ", expected 0 < latencyObjectiveMicros <= deadlineMicros");
  }
}
