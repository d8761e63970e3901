package lemondock.gateway.accounting;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.metrics.Series;

/**
 * The series of one request class and tenant.
 *
 * @param priorityWeight weight requested and earned, of {@code MetricFamilies.PRIORITY_WEIGHT}
 * @param requests requests by how they ended, of {@code MetricFamilies.REQUESTS}
 */
record TenantSeries(Series priorityWeight, Series requests) {
  /** Weight of first requests; that of a client's retries is in the field behind it. */
  private static final int WEIGHT_REQUESTED = 0;

  private static final int WEIGHT_RETRIED = 1;
  private static final int WEIGHT_IN_TIME = 2;
  private static final int WEIGHT_LATE = 3;
  private static final int ACCEPTED = 0;
  private static final int RETRIES = 1;

  /** The field of the first kind of outcome; the others follow in the order of their enum. */
  private static final int FIRST_OUTCOME = 2;

  int weightRequestedSlot(boolean retry) {
    return priorityWeight.slot(retry ? WEIGHT_RETRIED : WEIGHT_REQUESTED);
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
