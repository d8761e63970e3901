package lemondock.metrics;

import java.util.List;

/**
 * A metric family under one set of label values. Its fields occupy consecutive slots of a registry.
 *
 * @param index position in the order in which the registry created its series, from 0
 * @param family family that the series belongs to
 * @param labelValues one value for each of {@link MetricFamily#labelNames}
 * @param firstSlot slot of the family's first field
 */
public record Series(int index, MetricFamily family, List<String> labelValues, int firstSlot) {
  /** Returns the slot of the field at {@code fieldIndex} in {@link MetricFamily#fields}. */
  public int slot(int fieldIndex) {
    return firstSlot + fieldIndex;
  }
}
