package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.bytes;
import static lemondock.gateway.mcp.HttpReplies.clip;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
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
 * Reads requests before they reach the loop: parses their messages, has the admission decide on
 * calls and new sessions, and makes the prompts of the calls that are let in. Any thread, but for
 * {@link #recordArrival}.
 */
final class RequestPreparer {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;

  private final GatewaySettings settings;
  private final CallService calls;
  private final PromptReader prompts;
  private final Admission admission;
  private final JsonRpc rpc;
  private final AtomicLong randomState = new AtomicLong();

  /** A request's messages, and what was made of each call among them. */
  record Prepared(JsonRpc.Parsed parsed, Map<JsonRpcMessage, PreparedCall> calls) {}

  /** What was made of a call. */
  sealed interface PreparedCall permits Accepted, Malformed, Rejected {}

  /** A call that is let in, with its prompt. */
  record Accepted(Prompt prompt) implements PreparedCall {}

  /** A call that makes no sense; the problem is told to its client. */
  record Malformed(String problem) implements PreparedCall {}

  /**
   * A call that is refused because the gateway is at its limit; its client may come back after so
   * many microseconds.
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
    boolean admitted =
        request.body().length >= settings.overload().heavyBytes()
            && ToolNameScanner.toolName(request.body()) != null;
    JsonRpc.Parsed parsed = rpc.parse(request.body());
    Map<JsonRpcMessage, PreparedCall> calls = new HashMap<>();
    for (JsonRpcMessage message : parsed.messages()) {
      if (message instanceof JsonRpcMessage.Request call && call.method().equals(Mcp.TOOLS_CALL)) {
        calls.put(message, prepareCall(call.params(), admitted && !parsed.batch()));
      }
    }
    return new Prepared(parsed, calls);
  }

  /**
   * Before a large call is even parsed, where its tool can be seen at a glance: {@link
   * #prepareCall} then asks no second time.
   */
  HttpRejection rejectBeforeParsing(HttpRequest request) {
    Admission.Gate gate = admission.gate();
    if (gate == Admission.Gate.OPEN
        || !settings.overload().refuse()
        || !request.method().equals("POST")) {
      return null;
    }
    String tool = ToolNameScanner.toolName(request.body());
    int classId = tool == null ? -1 : prompts.classId(tool);
    if (classId < 0 || gate.admits(priority(classId), nextRandom())) {
      return null;
    }
    long retryAfterMicros = gate.retryAfterMicros(nextRandom());
    return new HttpRejection(
        toRetryAfterSeconds(retryAfterMicros),
        "application/json",
        bytes(rejection(NullNode.instance, retryAfterMicros)),
        () -> {
          recordArrival(classId, false);
          calls.shedLoad(classId, null, false);
        });
  }

  /** The error that refuses a call for now. */
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

  /** {@code admitted} says that the gate let it in by its tool already. */
  private PreparedCall prepareCall(JsonNode params, boolean alreadyAdmitted) {
    if (params == null || !params.path("name").isTextual()) {
      return new Malformed("/name: expected the name of a tool");
    }
    int classId = prompts.classId(params.get("name").textValue());
    if (classId < 0) {
      return new Malformed("Unknown tool: " + clip(params.get("name").textValue()));
    }
    double priority = priority(classId);
    if (settings.overload().refuse()) {
      // before the prompt is tokenized, which is the work of admitting it
      Admission.Gate gate = admission.gate();
      if (!alreadyAdmitted && !gate.admits(priority, nextRandom())
          || isRetry(params) && !gate.admitsRetry(nextRandom())) {
        return new Rejected(classId, gate.retryAfterMicros(nextRandom()));
      }
    }
    JsonNode key = params.path("_meta").get("lemondock/key");
    if (key != null
        && (!key.isTextual()
            || key.textValue().isEmpty()
            || key.textValue().length() > MAX_IDEMPOTENCY_KEY_LENGTH)) {
      return new Malformed(
          "/_meta/lemondock~1key: expected a text of 1 to "
              + MAX_IDEMPOTENCY_KEY_LENGTH
              + " characters");
    }
    JsonNode progress = params.path("_meta").get("progressToken");
    if (progress != null && !progress.isTextual() && !progress.isIntegralNumber()) {
      return new Malformed("/_meta/progressToken: expected a string or a whole number");
    }
    try {
      return new Accepted(prompts.read(classId, params.get("arguments")));
    } catch (PromptReader.InvalidArgumentsException e) {
      return new Malformed(e.getMessage());
    }
  }

  /** The client's key for a call and all its repeats, null if it gave none. */
  static String idempotencyKey(JsonNode params) {
    return params.path("_meta").path("lemondock/key").asText(null);
  }

  /** Whether the client says that it asked before. */
  static boolean isRetry(JsonNode params) {
    return params.path("_meta").path("lemondock/retry").asBoolean(false);
  }

  private double priority(int classId) {
    GatewaySettings.ClassSettings requestClass = settings.classes().get(classId);
    return Admission.priority(requestClass.worth(), GatewaySettings.micros(requestClass.aimMs()));
  }

  /** A number from 0 up to 1, each time another; any thread. */
  private double nextRandom() {
    long mixed = randomState.addAndGet(0x9E3779B97F4A7C15L);
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return ((mixed ^ mixed >>> 31) >>> 11) * 0x1.0p-53;
  }

  /** Tells the admission of a call that arrived, let in or not; on the loop. */
  void recordArrival(int classId, boolean retry) {
    admission.recordArrival(priority(classId), retry);
  }

  /** When a client that asks for a new session may come back, empty if it is let in now. */
  OptionalLong newSessionRetryAfterMicros() {
    Admission.Gate gate = admission.gate();
    return !settings.overload().refuse() || gate.admitsNewSession(nextRandom())
        ? OptionalLong.empty()
        : OptionalLong.of(gate.retryAfterMicros(nextRandom()));
  }

  /** Advice on when to come back in whole seconds, as in a header field. */
  static long toRetryAfterSeconds(long micros) {
    return 1 + micros / MICROS_PER_SECOND;
  }

  /**
   * Whom the client says it calls for; it only names a row of the reports until tenants prove who
   * they are.
   */
  static String tenant(JsonRpcMessage.Request request) {
    return request.params().path("_meta").path("lemondock/tenant").asText(null);
  }
}
