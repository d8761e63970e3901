package lemondock.policy;

import java.util.List;

/** Checks that the settings given to the router do not contradict each other. */
final class SettingsCheck {
  private SettingsCheck() {}

  /**
   * Checks all settings.
   *
   * @throws InvalidRouterInputException at the first that cannot be used
   */
  static void check(RouterSettings settings) {
    requireAny("classes", settings.classes());
    requireAny("serverKinds", settings.serverKinds());
    int maxAttempts = settings.limits().maxAttempts();
    if (maxAttempts <= 0) {
      throw new InvalidRouterInputException(
          "limits.maxAttempts", maxAttempts, "no attempt is allowed");
    }
    for (int id = 0; id < settings.classes().size(); id++) {
      checkClass(id, settings.classes().get(id));
    }
  }

  private static void requireAny(String field, List<?> values) {
    if (values.isEmpty()) {
      throw new InvalidRouterInputException(field, values, "no classes or no kinds");
    }
  }

  private static void checkClass(int id, RequestClass requestClass) {
    long objectiveMicros = requestClass.latencyObjectiveMicros();
    long deadlineMicros = requestClass.deadlineMicros();
    if (objectiveMicros <= 0) {
      throw deadlineBeforeObjective(id, "latencyObjectiveMicros", objectiveMicros);
    }
    if (deadlineMicros < objectiveMicros) {
      throw deadlineBeforeObjective(id, "deadlineMicros", deadlineMicros);
    }
  }

  private static InvalidRouterInputException deadlineBeforeObjective(
      int classId, String field, long micros) {
    return new InvalidRouterInputException(
        "classes[" + classId + "]." + field, micros, "a class's deadline lies before its aim");
  }
}
