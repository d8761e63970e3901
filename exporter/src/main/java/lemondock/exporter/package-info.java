/**
 * Export of metrics snapshots to collectors.
 *
 * <p>{@link lemondock.exporter.PeriodicExporter} takes snapshots and appends them to a {@link
 * lemondock.exporter.SnapshotBuffer}; each {@link lemondock.exporter.Destination} reads them from
 * there at its own rate and sends them. The subpackages encode them for the protocols. All of it
 * runs on one loop that no request uses. Times are in microseconds, timestamps in milliseconds
 * since the epoch.
 */
package lemondock.exporter;
