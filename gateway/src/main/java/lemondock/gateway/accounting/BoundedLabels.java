package lemondock.gateway.accounting;

import lemondock.metrics.LabelCardinalityLimit;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;

/** Bounded label values of one dimension, whose surplus is counted. Loop thread only. */
final class BoundedLabels {
  private final LabelCardinalityLimit names;
  private final Series surplus;
  private final Recorder recorder;

  /** Makes labels; each use of a name beyond the bound is counted in {@code surplus}. */
  BoundedLabels(LabelCardinalityLimit names, Series surplus, Recorder recorder) {
    this.names = names;
    this.surplus = surplus;
    this.recorder = recorder;
  }

  /** The label for a name, which others choose; not within a group of the recorder. */
  String label(String name) {
    long before = names.overflowCount();
    String label = names.labelFor(name);
    if (names.overflowCount() != before) {
      recorder.increment(surplus.firstSlot());
    }
    return label;
  }
}
