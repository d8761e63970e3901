/**
 * The gateway that clients call with MCP over HTTP: its composition, its lifecycle and the
 * resources of its process. {@link lemondock.gateway.Gateway} connects the packages below; all
 * decisions are made on one loop thread.
 */
package lemondock.gateway;
