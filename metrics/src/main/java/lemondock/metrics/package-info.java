/**
 * Counters, gauges and duration histograms, and snapshots of them.
 *
 * <p>{@link lemondock.metrics.MetricFamilies} lists what a gateway measures. A {@link
 * lemondock.metrics.MetricRegistry} assigns each family under a set of label values, a {@link
 * lemondock.metrics.Series}, its slots. A thread records into them through a {@link
 * lemondock.metrics.Recorder} of its own, without locks; a {@link
 * lemondock.metrics.MetricsSnapshot} merges all recorders. No I/O and no clock; durations are in
 * microseconds.
 */
package lemondock.metrics;
