/**
 * Counters, gauges and duration histograms, and snapshots of them.
 *
 * <p>{@link lemondock.metrics.MetricFamilies} lists what a gateway measures. A {@link
 * lemondock.metrics.Series} is a family under one set of label values; a {@link
 * lemondock.metrics.MetricRegistry} assigns its slots. Each thread records into the slots through
 * its own {@link lemondock.metrics.Recorder}, without locks; a {@link
 * lemondock.metrics.MetricsSnapshot} merges all recorders. The package does no I/O and reads no
 * clock; durations are in microseconds.
 */
package lemondock.metrics;
