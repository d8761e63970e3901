/**
 * A client's prompt and the state machine of its answer over all requests and tool calls. {@link
 * lemondock.gateway.answer.PromptReader} validates the arguments of a call and counts their tokens;
 * {@link lemondock.gateway.answer.Answer} decides how to react to events of the engines and of the
 * client's tools. No I/O.
 */
package lemondock.gateway.answer;
