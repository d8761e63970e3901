package lemondock.gateway.front;

import static lemondock.gateway.front.FrontAnswers.bytes;
import static lemondock.gateway.front.FrontAnswers.clip;

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
 * {@link #arrived}.
 */
final class CallIntake {
  private static final long MICROS = 1_000;
  private static final long SECOND = 1_000_000;
  private static final int MOST_KEY = 200;

  private final GatewaySettings settings;
  private final CallService calls;
  private final PromptReader prompts;
  private final Admission admission;
  private final JsonRpc rpc;
  private final AtomicLong chances = new AtomicLong();

  /** A request's messages, and what was made of each call among them. */
  record Prepared(JsonRpc.Parsed parsed, Map<JsonRpcMessage, Reading> readings) {}

  /** What was made of a call. */
  sealed interface Reading permits Accepted, Malformed, Refused {}

  /** A call that is let in, with its prompt. */
  record Accepted(Prompt prompt) implements Reading {}

  /** A call that makes no sense; the problem is told to its client. */
  record Malformed(String problem) implements Reading {}

  /**
   * A call that is refused because the gateway is at its limit; its client may come back after so
   * many microseconds.
   */
  record Refused(int classId, long retryAfter) implements Reading {}

  CallIntake(
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
    boolean asked =
        request.body().length >= settings.overload().heavyBytes()
            && Peek.tool(request.body()) != null;
    JsonRpc.Parsed parsed = rpc.parse(request.body());
    Map<JsonRpcMessage, Reading> made = new HashMap<>();
    for (JsonRpcMessage message : parsed.messages()) {
      if (message instanceof JsonRpcMessage.Request call && call.method().equals(Mcp.TOOLS_CALL)) {
        made.put(message, read(call.params(), asked && !parsed.batch()));
      }
    }
    return new Prepared(parsed, made);
  }

  /**
   * Before a large call is even parsed, where its tool can be seen at a glance: {@link #read} then
   * asks no second time.
   */
  HttpRejection turnsAway(HttpRequest request) {
    Admission.Gate gate = admission.gate();
    if (gate == Admission.Gate.OPEN
        || !settings.overload().refuse()
        || !request.method().equals("POST")) {
      return null;
    }
    String tool = Peek.tool(request.body());
    int classId = tool == null ? -1 : prompts.classId(tool);
    if (classId < 0 || gate.admits(value(classId), chance())) {
      return null;
    }
    long retryAfter = gate.retryAfterMicros(chance());
    return new HttpRejection(
        wholeSeconds(retryAfter),
        "application/json",
        bytes(refusal(NullNode.instance, retryAfter)),
        () -> {
          arrived(classId, false);
          calls.refusedLate(classId, null, false);
        });
  }

  /** The error that refuses a call for now. */
  static ObjectNode refusal(JsonNode id, long retryAfter) {
    return JsonRpc.error(
        id,
        Mcp.REJECTED,
        "refused: the gateway is at its limit",
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", true)
            .put("retryAfterMs", retryAfter / MICROS));
  }

  /** {@code asked} says that the gate let it in by its tool already. */
  private Reading read(JsonNode params, boolean asked) {
    if (params == null || !params.path("name").isTextual()) {
      return new Malformed("/name: expected the name of a tool");
    }
    int classId = prompts.classId(params.get("name").textValue());
    if (classId < 0) {
      return new Malformed("Unknown tool: " + clip(params.get("name").textValue()));
    }
    double value = value(classId);
    if (settings
        .overload()
        .refuse()) { // before the prompt is tokenized, which is the work of letting it in
      Admission.Gate gate = admission.gate();
      if (!asked && !gate.admits(value, chance())
          || repeat(params) && !gate.admitsRetry(chance())) {
        return new Refused(classId, gate.retryAfterMicros(chance()));
      }
    }
    JsonNode key = params.path("_meta").get("lemondock/key");
    if (key != null
        && (!key.isTextual() || key.textValue().isEmpty() || key.textValue().length() > MOST_KEY)) {
      return new Malformed(
          "/_meta/lemondock~1key: expected a text of 1 to " + MOST_KEY + " characters");
    }
    JsonNode progress = params.path("_meta").get("progressToken");
    if (progress != null && !progress.isTextual() && !progress.isIntegralNumber()) {
      return new Malformed("/_meta/progressToken: expected a string or a whole number");
    }
    try {
      return new Accepted(prompts.read(classId, params.get("arguments")));
    } catch (PromptReader.BadArguments e) {
      return new Malformed(e.getMessage());
    }
  }

  /** The client's key for a call and all its repeats, null if it gave none. */
  static String onceKey(JsonNode params) {
    return params.path("_meta").path("lemondock/key").asText(null);
  }

  /** Whether the client says that it asked before. */
  static boolean repeat(JsonNode params) {
    return params.path("_meta").path("lemondock/retry").asBoolean(false);
  }

  private double value(int classId) {
    GatewaySettings.ClassSettings c = settings.classes().get(classId);
    return Admission.priority(c.worth(), GatewaySettings.micros(c.aimMs()));
  }

  /** A number from 0 up to 1, each time another; any thread. */
  private double chance() {
    long z = chances.addAndGet(0x9E3779B97F4A7C15L);
    z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
    z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
    return ((z ^ z >>> 31) >>> 11) * 0x1.0p-53;
  }

  /** Tells the admission of a call that arrived, let in or not; on the loop. */
  void arrived(int classId, boolean repeat) {
    admission.recordArrival(value(classId), repeat);
  }

  /** When a client that asks for a new session may come back, empty if it is let in now. */
  OptionalLong newcomerRefused() {
    Admission.Gate gate = admission.gate();
    return !settings.overload().refuse() || gate.admitsNewSession(chance())
        ? OptionalLong.empty()
        : OptionalLong.of(gate.retryAfterMicros(chance()));
  }

  /** Advice on when to come back in whole seconds, as in a header field. */
  static long wholeSeconds(long micros) {
    return 1 + micros / SECOND;
  }

  /**
   * Whom the client says it calls for; it only names a row of the reports until tenants prove who
   * they are.
   */
  static String tenant(JsonRpcMessage.Request request) {
    return request.params().path("_meta").path("lemondock/tenant").asText(null);
  }
}
