/**
 * collectd's protocols: the binary packets of its network plugin, plain, signed or encrypted, and
 * the PUTVAL lines of its exec and unixsock plugins; the data sets for its types.db.
 */
package lemondock.exporter.collectd;
