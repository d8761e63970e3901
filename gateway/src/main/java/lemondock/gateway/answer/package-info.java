/**
 * A client's prompt and the states of its answer over all requests and tool calls. {@link
 * lemondock.gateway.answer.PromptReader} reads and counts the arguments of a call; {@link
 * lemondock.gateway.answer.Answer} decides what each event of the engines and of the client's tools
 * leads to. No I/O.
 */
package lemondock.gateway.answer;
