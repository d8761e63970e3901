/**
 * The client of engines that speak the OpenAI-compatible API: reads (prefill), writes (decode) and
 * aborts, with a parser for the events that come once a token.
 */
package lemondock.gateway.engine;
