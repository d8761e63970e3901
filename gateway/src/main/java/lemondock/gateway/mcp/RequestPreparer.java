package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;
import static lemondock.gateway.mcp.HttpReplies.toBytes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpRejection;
import lemondock.net.http.HttpRequest;
import lemondock.overload.Admission;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/**
 * Prepares requests before they reach the loop: parses their messages, applies admission control to
 * calls and new sessions, and reads the prompts of admitted calls. Any thread, except for {@link
 * #recordArrival}.
 */
final class RequestPreparer {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final GatewaySettings settings;
  private final CallService calls;
  private final PromptReader prompts;
  private final Admission admission;
  private final JsonRpc rpc;

  /** The state of a SplitMix64 generator. */
  private final AtomicLong randomState = new AtomicLong();

  /**
   * A parsed request.
   *
   * @param preparedCalls the prepared call of each {@code tools/call} among the messages
   */
  record Prepared(JsonRpc.Parsed parsed, Map<JsonRpcMessage, PreparedCall> preparedCalls) {
    /** Returns the prepared call of a request; empty for methods other than {@code tools/call}. */
    Optional<PreparedCall> call(JsonRpcMessage.Request request) {
      return Optional.ofNullable(preparedCalls.get(request));
    }
  }

  /** The result of preparing a {@code tools/call}. */
  sealed interface PreparedCall permits Accepted, Malformed, Rejected {}

  /** A call that was admitted, with its prompt. */
  record Accepted(Prompt prompt) implements PreparedCall {}

  /** A call with invalid parameters; the client gets the problem as an error. */
  record Malformed(String problem) implements PreparedCall {}

  /**
   * A call that is rejected because the gateway is overloaded.
   *
   * @param retryAfterMicros advised delay before a retry
   */
  record Rejected(int classId, long retryAfterMicros) implements PreparedCall {}

  RequestPreparer(
      GatewaySettings settings, CallService calls, PromptReader prompts, Admission admission) {
    this.settings = settings;
    this.calls = calls;
    this.prompts = prompts;
    this.admission = admission;
    GatewaySettings.Front front = settings.front();
    this.rpc =
        new JsonRpc(
            new JsonRpc.Limits(
                front.maxDepth(),
                front.maxBatch(),
                (int) Math.min(Integer.MAX_VALUE, front.maxBodyBytes()),
                JsonRpc.Limits.DEFAULT.maxNumberLength()));
  }

  /** Parses a request and reads the prompts of its calls. */
  Prepared prepare(HttpRequest request) {
    boolean alreadyAdmitted =
        request.body().length >= settings.overload().heavyBytes()
            && ToolNameScanner.toolName(request.body()).isPresent();
    JsonRpc.Parsed parsed = rpc.parse(request.body());
    Map<JsonRpcMessage, PreparedCall> preparedCalls = new HashMap<>();
    for (JsonRpcMessage message : parsed.messages()) {
      if (message instanceof JsonRpcMessage.Request call && call.method().equals(Mcp.TOOLS_CALL)) {
        preparedCalls.put(message, prepareCall(call.params(), alreadyAdmitted && !parsed.batch()));
      }
    }
    return new Prepared(parsed, preparedCalls);
  }

  /**
   * Rejects a large call before it is parsed, if {@link ToolNameScanner} finds the name of its
   * tool. For a call that was admitted here, {@link #prepare} checks only the retry budget, not the
   * priority again.
   */
  Optional<HttpRejection> rejectBeforeParsing(HttpRequest request) {
    Admission.Gate gate = admission.gate();
    if (gate == Admission.Gate.OPEN
        || !settings.overload().refuse()
        || !request.method().equals("POST")) {
      return Optional.empty();
    }
    OptionalInt classId = classId(ToolNameScanner.toolName(request.body()));
    if (classId.isEmpty() || gate.admits(priority(classId.getAsInt()), nextRandom())) {
      return Optional.empty();
    }
    return Optional.of(earlyRejection(classId.getAsInt(), gate.retryAfterMicros(nextRandom())));
  }

  private OptionalInt classId(Optional<String> tool) {
    return tool.isEmpty() ? OptionalInt.empty() : prompts.classId(tool.get());
  }

  private HttpRejection earlyRejection(int classId, long retryAfterMicros) {
    return new HttpRejection(
        toRetryAfterSeconds(retryAfterMicros),
        ContentNegotiation.JSON,
        toBytes(rejection(NullNode.instance, retryAfterMicros)),
        () -> {
          recordArrival(classId, false);
          calls.recordLoadShed(classId, Optional.empty(), false);
        });
  }

  /** Builds the error response of a call that is rejected but may be retried. */
  static ObjectNode rejection(JsonNode id, long retryAfterMicros) {
    return JsonRpc.error(
        id,
        Mcp.REJECTED,
        "refused: the gateway is at its limit",
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", true)
            .put("retryAfterMs", retryAfterMicros / MICROS_PER_MILLI));
  }

  private PreparedCall prepareCall(JsonNode params, boolean alreadyAdmitted) {
    if (params == null || !params.path("name").isTextual()) {
      return new Malformed("/name: expected the name of a tool");
    }
    String tool = params.get("name").textValue();
    OptionalInt classId = prompts.classId(tool);
    if (classId.isEmpty()) {
      return new Malformed("Unknown tool: " + clip(tool));
    }
    // checked before the prompt is tokenized, which is most of the work on a call
    OptionalLong retryAfterMicros =
        callRetryAfterMicros(classId.getAsInt(), params, alreadyAdmitted);
    if (retryAfterMicros.isPresent()) {
      return new Rejected(classId.getAsInt(), retryAfterMicros.getAsLong());
    }
    Optional<String> problem = CallMetadata.problem(params);
    if (problem.isPresent()) {
      return new Malformed(problem.get());
    }
    try {
      return new Accepted(prompts.read(classId.getAsInt(), params.get("arguments")));
    } catch (PromptReader.InvalidArgumentsException e) {
      return new Malformed(e.getMessage());
    }
  }

  /** Returns the delay before the client may retry the call; empty if the call is admitted. */
  private OptionalLong callRetryAfterMicros(int classId, JsonNode params, boolean alreadyAdmitted) {
    if (!settings.overload().refuse()) {
      return OptionalLong.empty();
    }
    Admission.Gate gate = admission.gate();
    boolean rejected =
        !alreadyAdmitted && !gate.admits(priority(classId), nextRandom())
            || CallMetadata.of(params).clientRetry() && !gate.admitsRetry(nextRandom());
    return rejected ? OptionalLong.of(gate.retryAfterMicros(nextRandom())) : OptionalLong.empty();
  }

  private double priority(int classId) {
    GatewaySettings.ClassSettings requestClass = settings.classes().get(classId);
    return Admission.priority(requestClass.worth(), GatewaySettings.micros(requestClass.aimMs()));
  }

  /** Returns the next pseudo-random number, from 0 inclusive to 1 exclusive. Any thread. */
  private double nextRandom() {
    long mixed = randomState.addAndGet(0x9E3779B97F4A7C15L);
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return ((mixed ^ mixed >>> 31) >>> 11) * 0x1.0p-53;
  }

  /**
   * Records with admission control that a call arrived, whether admitted or not. Loop thread only.
   */
  void recordArrival(int classId, boolean clientRetry) {
    admission.recordArrival(priority(classId), clientRetry);
  }

  /** Returns the delay before a client may retry to open a session; empty if it may open one. */
  OptionalLong newSessionRetryAfterMicros() {
    Admission.Gate gate = admission.gate();
    return !settings.overload().refuse() || gate.admitsNewSession(nextRandom())
        ? OptionalLong.empty()
        : OptionalLong.of(gate.retryAfterMicros(nextRandom()));
  }

  /** Converts to whole seconds for the Retry-After header field; at least 1. */
  static long toRetryAfterSeconds(long micros) {
    return 1 + micros / MICROS_PER_SECOND;
  }
}
