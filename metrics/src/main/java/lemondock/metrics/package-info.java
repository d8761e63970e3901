/**
 * Counters, gauges and histograms. A thread records in a recorder of its own without locks; a
 * snapshot merges all recorders. {@link lemondock.metrics.Metrics} lists the families.
 */
package lemondock.metrics;
