/**
 * The client of engines that speak the OpenAI-compatible API. {@link
 * lemondock.gateway.engine.EngineClient} sends prefills, decodes and aborts; {@link
 * lemondock.gateway.engine.EngineProtocol} reads and writes their bodies.
 *
 * <p>The events of a stream come once for each token: the usual ones are read where they lie on an
 * I/O thread, all others become a {@link lemondock.gateway.engine.CompletionChunk} for the loop.
 */
package lemondock.gateway.engine;
