/**
 * JSON-RPC 2.0 messages, read strictly and written, and the names of the Model Context Protocol
 * that is spoken in them; no I/O.
 */
package lemondock.rpc;
