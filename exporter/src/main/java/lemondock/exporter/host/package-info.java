/**
 * Threads, sockets, name resolution, the host name and process gauges for exporters on a real
 * machine.
 */
package lemondock.exporter.host;
