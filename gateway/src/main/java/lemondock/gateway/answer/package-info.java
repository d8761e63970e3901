/** A client's prompt and the states of its answer over all requests and tool calls. No I/O. */
package lemondock.gateway.answer;
