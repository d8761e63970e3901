/** Encoders for Graphite's plaintext and pickle protocols. No I/O. */
package lemondock.exporter.graphite;
