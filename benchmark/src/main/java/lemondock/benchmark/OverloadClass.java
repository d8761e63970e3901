package lemondock.benchmark;

import java.util.concurrent.TimeUnit;

/** The request classes of overload benchmarks. */
enum OverloadClass {
  SALE_LOOKUP("sale-lookup", 1, 500, 2_000),
  DAY_CLOSE("day-close", 3, 1_500, 3_000);

  /** One of this many calls is of {@link #DAY_CLOSE}, the class of higher priority. */
  private static final int CALLS_PER_DAY_CLOSE = 4;

  private final String toolName;
  private final int priorityWeight;
  private final int latencyObjectiveMillis;
  private final int deadlineMillis;

  OverloadClass(
      String toolName, int priorityWeight, int latencyObjectiveMillis, int deadlineMillis) {
    this.toolName = toolName;
    this.priorityWeight = priorityWeight;
    this.latencyObjectiveMillis = latencyObjectiveMillis;
    this.deadlineMillis = deadlineMillis;
  }

  /** Returns the class of a call by its number, from 0. */
  static OverloadClass ofCall(int number) {
    return number % CALLS_PER_DAY_CLOSE == CALLS_PER_DAY_CLOSE - 1 ? DAY_CLOSE : SALE_LOOKUP;
  }

  String toolName() {
    return toolName;
  }

  int priorityWeight() {
    return priorityWeight;
  }

  /** The time within which the first token must arrive, in microseconds. */
  long latencyObjectiveMicros() {
    return TimeUnit.MILLISECONDS.toMicros(latencyObjectiveMillis);
  }

  /** Returns the classes as a JSON array for a gateway's settings. */
  static String settingsJson() {
    return "[" + SALE_LOOKUP.toJson() + "," + DAY_CLOSE.toJson() + "]";
  }

  private String toJson() {
    return "{\"name\":\"%s\",\"worth\":%d,\"aimMs\":%d,\"deadlineMs\":%d,\"maxTokens\":100,\"tokenAimMs\":100}"
        .formatted(toolName, priorityWeight, latencyObjectiveMillis, deadlineMillis);
  }
}
