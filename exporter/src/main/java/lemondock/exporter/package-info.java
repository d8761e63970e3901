/**
 * Export of snapshots to collectors: the ring of snapshots to be sent, destinations over streams,
 * their time stamps and back-off. Runs on the reports' loop.
 */
package lemondock.exporter;
