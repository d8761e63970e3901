/**
 * What the gateway counts, and the verdict whether a call got what its class promises. Values are
 * recorded on the loop thread; snapshots may be taken on any thread.
 */
package lemondock.gateway.accounting;
