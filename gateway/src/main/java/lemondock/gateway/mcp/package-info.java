/**
 * The Model Context Protocol over Streamable HTTP: sessions, calls, event streams that a client may
 * resume, and admission of requests before they are parsed.
 */
package lemondock.gateway.mcp;
