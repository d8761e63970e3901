/** Graphite's protocols: plain text lines and pickled batches. No I/O. */
package lemondock.exporter.graphite;
