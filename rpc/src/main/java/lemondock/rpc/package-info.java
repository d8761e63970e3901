/**
 * Strict parsing and building of JSON-RPC 2.0 messages, and the names of the Model Context
 * Protocol, which uses them. Does no I/O.
 */
package lemondock.rpc;
