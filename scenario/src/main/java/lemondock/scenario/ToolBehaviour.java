package lemondock.scenario;

/** How a client answers the tool calls that a gateway relays to it. */
public enum ToolBehaviour {
  /** One result. */
  ANSWER,
  /** A JSON-RPC error. */
  ERROR,
  /** No answer. */
  SILENT,
  /** The same result twice. */
  TWICE
}
