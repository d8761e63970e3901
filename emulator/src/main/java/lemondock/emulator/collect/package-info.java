/**
 * Emulators of the collectors to which gateways report: carbon (plaintext and pickle) and collectd
 * (network and unixsock plugins).
 */
package lemondock.emulator.collect;
