/**
 * What exporters need of the real machine: threads, sockets, name resolution, the host's name and
 * gauges of the process.
 */
package lemondock.exporter.host;
