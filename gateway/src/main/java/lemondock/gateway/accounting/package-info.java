/**
 * The metrics of the gateway, and the decision whether a call met the objectives of its class.
 * Values are recorded on the loop thread; snapshots may be taken on any thread.
 */
package lemondock.gateway.accounting;
