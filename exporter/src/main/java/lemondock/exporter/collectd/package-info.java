/**
 * Export to collectd: the binary packets of its network plugin, which may be signed or encrypted,
 * the PUTVAL lines of its exec and unixsock plugins, and the data set definitions for its types.db.
 */
package lemondock.exporter.collectd;
