package lemondock.gateway.accounting;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.metrics.Series;

/**
 * The metric series of one request class and tenant.
 *
 * @param priorityWeight weight requested and earned, of {@code MetricFamilies.PRIORITY_WEIGHT}
 * @param requests requests by their outcome, of {@code MetricFamilies.REQUESTS}
 */
record TenantSeries(Series priorityWeight, Series requests) {
  /** Weight of calls that are not marked as retries; {@link #WEIGHT_RETRIED} is that of retries. */
  private static final int WEIGHT_REQUESTED = 0;

  private static final int WEIGHT_RETRIED = 1;
  private static final int WEIGHT_IN_TIME = 2;
  private static final int WEIGHT_LATE = 3;
  private static final int ACCEPTED = 0;
  private static final int RETRIES = 1;

  /**
   * The field of the first outcome kind; the others follow in the order of their enum constants.
   */
  private static final int FIRST_OUTCOME = 2;

  int weightRequestedSlot(boolean clientRetry) {
    return priorityWeight.slot(clientRetry ? WEIGHT_RETRIED : WEIGHT_REQUESTED);
  }

  int weightInTimeSlot() {
    return priorityWeight.slot(WEIGHT_IN_TIME);
  }

  int weightLateSlot() {
    return priorityWeight.slot(WEIGHT_LATE);
  }

  int acceptedSlot() {
    return requests.slot(ACCEPTED);
  }

  int retriesSlot() {
    return requests.slot(RETRIES);
  }

  int outcomeSlot(AnswerOutcome.Kind kind) {
    return requests.slot(FIRST_OUTCOME + kind.ordinal());
  }
}
