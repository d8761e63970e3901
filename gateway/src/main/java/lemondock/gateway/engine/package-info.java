/**
 * The client for engines with an OpenAI-compatible API. {@link
 * lemondock.gateway.engine.EngineClient} sends prefills, decodes and aborts; {@link
 * lemondock.gateway.engine.EngineProtocol} encodes and parses their bodies.
 *
 * <p>A stream event arrives for each token. Plain text events are parsed in place on an I/O thread;
 * all others are passed to the loop as a {@link lemondock.gateway.engine.CompletionChunk}.
 */
package lemondock.gateway.engine;
