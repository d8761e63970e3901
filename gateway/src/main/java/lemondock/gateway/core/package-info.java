/**
 * Clients' calls in progress, independent of the client protocol. {@link
 * lemondock.gateway.core.CallService} accepts calls. A {@link lemondock.gateway.core.ClientCall}
 * submits the requests of its answer to the dispatcher and relays tool calls to the client. {@link
 * lemondock.gateway.core.IdempotencyGuard} prevents calls from running twice.
 *
 * <p>Loop thread only, except that an I/O thread writes plain text of a running stream, with the
 * lock of the call's {@link lemondock.gateway.core.CallSink} held.
 */
package lemondock.gateway.core;
