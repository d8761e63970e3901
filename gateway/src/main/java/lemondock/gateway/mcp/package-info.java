/**
 * The front end for clients: the Model Context Protocol over Streamable HTTP. {@link
 * lemondock.gateway.mcp.McpHttpHandler} routes requests by path and method and keeps the session
 * table. POST carries messages and is answered with JSON or an event stream, GET opens or resumes a
 * stream, DELETE ends a session.
 *
 * <p>I/O threads and workers parse requests and may reject them. Everything else runs on the loop
 * thread, except that an I/O thread writes plain text of a running stream while it holds the lock
 * of that stream.
 */
package lemondock.gateway.mcp;
