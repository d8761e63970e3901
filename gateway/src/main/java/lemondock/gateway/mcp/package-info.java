/**
 * The front end for clients: the Model Context Protocol over Streamable HTTP. {@link
 * lemondock.gateway.mcp.McpHttpHandler} routes requests by path and method and keeps the session
 * table; POST brings messages and gets a JSON text or an event stream, GET opens or resumes a
 * stream, DELETE ends a session.
 *
 * <p>Requests are parsed and may be rejected on I/O threads and workers; all else is on the loop,
 * but for plain pieces of a running answer, which an I/O thread writes under its stream's lock.
 */
package lemondock.gateway.mcp;
