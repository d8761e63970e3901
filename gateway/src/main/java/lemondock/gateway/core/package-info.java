/**
 * Clients' calls in progress, independent of the protocol they come by. {@link
 * lemondock.gateway.core.CallService} accepts calls; a {@link lemondock.gateway.core.ClientCall}
 * sends the requests that its answer asks for to the dispatcher and relays tool calls to the
 * client; {@link lemondock.gateway.core.IdempotencyGuard} keeps calls from running twice.
 *
 * <p>Loop thread only. Plain text of a running stream is written on an I/O thread, under the lock
 * of the call's {@link lemondock.gateway.core.CallSink}.
 */
package lemondock.gateway.core;
