/**
 * Collectd's protocols: signed or encrypted datagrams of the network plugin and PUTVAL lines of the
 * unixsock plugin.
 */
package lemondock.exporter.collectd;
