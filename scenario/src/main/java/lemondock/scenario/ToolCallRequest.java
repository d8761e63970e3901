package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;

/**
 * What a client sends with one {@code tools/call} and how it behaves while the call runs.
 *
 * @param tool name of the request class, which a gateway exposes as a tool
 * @param classId index of that class in the settings
 * @param conversation name of the conversation for prefix affinity; null for none
 * @param tools names of the tools that the client offers to the model
 * @param toolDelayMicros time before the client answers a relayed tool call
 * @param mark identifies the call in the prompt, so that the auditor finds its requests to engines
 * @param retry whether the call is marked as a retry
 * @param tenant null for none
 * @param idempotencyKey the same for all attempts at one call; null for none
 */
public record ToolCallRequest(
    String tool,
    int classId,
    ArrayNode messages,
    String conversation,
    List<String> tools,
    ToolBehaviour toolBehaviour,
    long toolDelayMicros,
    int maxTokens,
    String mark,
    boolean retry,
    String tenant,
    String idempotencyKey) {

  /** A call without a tenant and without an idempotency key. */
  public ToolCallRequest(
      String tool,
      int classId,
      ArrayNode messages,
      String conversation,
      List<String> tools,
      ToolBehaviour toolBehaviour,
      long toolDelayMicros,
      int maxTokens,
      String mark,
      boolean retry) {
    this(
        tool,
        classId,
        messages,
        conversation,
        tools,
        toolBehaviour,
        toolDelayMicros,
        maxTokens,
        mark,
        retry,
        null,
        null);
  }

  /** The same call for a tenant. */
  public ToolCallRequest withTenant(String newTenant) {
    return new ToolCallRequest(
        tool,
        classId,
        messages,
        conversation,
        tools,
        toolBehaviour,
        toolDelayMicros,
        maxTokens,
        mark,
        retry,
        newTenant,
        idempotencyKey);
  }

  /** The same call with an idempotency key. */
  public ToolCallRequest withIdempotencyKey(String newKey) {
    return new ToolCallRequest(
        tool,
        classId,
        messages,
        conversation,
        tools,
        toolBehaviour,
        toolDelayMicros,
        maxTokens,
        mark,
        retry,
        tenant,
        newKey);
  }
}
