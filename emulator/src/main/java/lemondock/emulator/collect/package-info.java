/**
 * Emulators of the collectors that gateways report to: carbon (plaintext and pickle) and collectd
 * (network and unixsock plugins).
 */
package lemondock.emulator.collect;
