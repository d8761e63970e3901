package lemondock.gateway.accounting;

import lemondock.metrics.LabelCardinalityLimit;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;

/**
 * Label values of one dimension, limited in number; uses of names beyond the limit are counted.
 * Loop thread only.
 */
final class BoundedLabels {
  private final LabelCardinalityLimit cardinalityLimit;
  private final Series overflows;
  private final Recorder recorder;

  /** Creates labels; each use of a name beyond the limit is counted in {@code overflows}. */
  BoundedLabels(LabelCardinalityLimit cardinalityLimit, Series overflows, Recorder recorder) {
    this.cardinalityLimit = cardinalityLimit;
    this.overflows = overflows;
    this.recorder = recorder;
  }

  /**
   * The label for a name that comes from outside the gateway. May record an overflow, so it must
   * not be called within an update of the recorder.
   */
  String labelFor(String name) {
    long overflowsBefore = cardinalityLimit.overflowCount();
    String label = cardinalityLimit.labelFor(name);
    if (cardinalityLimit.overflowCount() != overflowsBefore) {
      recorder.increment(overflows.firstSlot());
    }
    return label;
  }
}
