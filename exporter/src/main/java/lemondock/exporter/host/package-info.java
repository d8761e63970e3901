/** The real environment of exporters: threads, sockets and the host's name. */
package lemondock.exporter.host;
