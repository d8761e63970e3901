package lemondock.policy;

/** Checks that the settings given to the router do not contradict each other. */
final class SettingsCheck {
  private SettingsCheck() {}

  /** Throws an IllegalArgumentException whose message says what is wrong. */
  static void check(RouterSettings settings) {
    require(
        !settings.classes().isEmpty() && !settings.serverKinds().isEmpty(),
        "no classes or no kinds");
    require(settings.limits().maxAttempts() > 0, "no attempt is allowed");
    for (RequestClass requestClass : settings.classes()) {
      require(
          requestClass.latencyObjectiveMicros() > 0
              && requestClass.deadlineMicros() >= requestClass.latencyObjectiveMicros(),
          "a class's deadline lies before its aim");
    }
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new IllegalArgumentException(message);
    }
  }
}
