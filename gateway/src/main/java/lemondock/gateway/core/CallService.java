package lemondock.gateway.core;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import lemondock.dispatch.DirectOutput;
import lemondock.dispatch.DispatchedRequest;
import lemondock.dispatch.RequestDispatcher;
import lemondock.dispatch.RequestListener;
import lemondock.dispatch.StableHash;
import lemondock.gateway.accounting.CallMetrics;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.answer.Answer;
import lemondock.gateway.answer.Prompt;
import lemondock.gateway.answer.ToolCall;
import lemondock.gateway.answer.ToolResult;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.CallStatus;
import lemondock.idempotency.RelayedToolCall;
import lemondock.net.Loop;
import lemondock.overload.GradientLimit;
import lemondock.overload.StallMonitor;

/**
 * Clients' calls under way: joins the states of an answer to the ledger's legs. It knows no front;
 * a front gives it a prompt and a {@link Sink} and hears what is to be said to the client.
 */
public final class CallService {
  /** Tokens of later turns are not counted by the tokenizer on the loop, but estimated. */
  private static final int CHARS_A_TOKEN = 4;

  /**
   * Characters of a piece that goes without the loop: its event must fit what {@link Sink#flows}
   * leaves room for.
   */
  private static final int MOST_DIRECT = 2_000;

  private static final int LEAST_CALLS = 10;
  private static final int FIRST_CALLS = 100;
  private static final double GOOD_TIMES = 1.5;

  private final Loop loop;
  private final RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> ledger;
  private final GatewaySettings settings;
  private final GatewayMetrics tally;
  private final StallMonitor lateness;
  private final Set<Call> open = new HashSet<>();

  /** Null unless the settings ask for it. */
  private final GradientLimit gradient;

  /** Null where nothing is remembered. */
  private IdempotencyGuard guard;

  private long toolsWaiting;
  private int waitingAnswers;

  /** What a front does for a call. */
  public interface Sink {
    /** The call was taken; comes before all else. */
    void taken(Call call);

    /** A piece of the answer, good until this returns; {@code tokens} counts all so far. */
    void deliver(CharSequence piece, int tokens);

    /** The shard of the client's connection. */
    int shard();

    /**
     * Whoever touches the call's answer, or what the client is sent of it, holds this: the loop for
     * all that decides, an I/O thread for plain pieces of a running stream. It is never held while
     * waiting for anything.
     */
    Object lock();

    /**
     * Whether a plain piece may go to the client from an I/O thread now; asked with the lock held.
     */
    boolean flows();

    /** Asks the client to run a tool; its result comes back by {@link Call#result}. */
    void relay(ToolCall call);

    /** The result of a relayed call is not wanted any more. */
    void withdraw(ToolCall call, String why);

    /** The one end; nothing follows. Not called for a call that was left by its front. */
    void ended(Answer.Outcome ending);
  }

  /** Makes an empty set of calls. */
  public CallService(
      Loop loop,
      RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> ledger,
      GatewaySettings settings,
      GatewayMetrics tally,
      StallMonitor lateness) {
    this.lateness = lateness;
    this.loop = loop;
    this.tally = tally;
    this.ledger = ledger;
    this.settings = settings;
    this.gradient =
        !settings.overload().gradient()
            ? null
            : new GradientLimit(LEAST_CALLS, FIRST_CALLS, settings.limits().maxCalls(), GOOD_TIMES);
  }

  /**
   * Whether another call may be taken. Those that only wait for their clients' tools have a bound
   * of their own.
   */
  public boolean hasRoom() {
    return open.size() - waitingAnswers
        < (gradient == null ? settings.limits().maxCalls() : gradient.limit());
  }

  /** Calls under way. */
  public int size() {
    return open.size();
  }

  /** Tool calls that wait for their results. */
  public long toolsWaiting() {
    return toolsWaiting;
  }

  /** A call was turned away because the gateway is late. */
  public void refusedLate(int classId, String tenant, boolean clientRepeat) {
    tally.countLoadShed();
    tally.requestRejected(classId, tenant, clientRepeat);
  }

  /** A call was turned away before it was taken; it is counted as refused. */
  public void turnedAway(Prompt prompt, String tenant, boolean clientRepeat) {
    tally.requestRejected(prompt.classId(), tenant, clientRepeat);
  }

  /** Has calls that must not run twice remembered; before the first call. */
  public void guard(IdempotencyGuard by) {
    guard = by;
  }

  /**
   * What became of an earlier call under the client's key, if that keeps this call from running.
   */
  public Optional<CallStatus> blockingStatus(Prompt prompt, String key) {
    return guarded(prompt, key)
        ? Optional.of(guard.status(key)).filter(status -> !status.mayRun())
        : Optional.empty();
  }

  /** Tool calls that were relayed for an earlier call under that key. */
  public List<RelayedToolCall> relayedToolCalls(String key) {
    return guard.relayedToolCalls(key);
  }

  private boolean guarded(Prompt prompt, String key) {
    return guard != null
        && key != null
        && !settings.classes().get(prompt.classId()).repeat().equals("safe");
  }

  /**
   * Takes a call. {@code session} is the key of its conversation; {@code tenant} is for the counts,
   * null if unnamed. {@code key} is the client's own for this call and its repeats, null if it gave
   * none; {@link #blockingStatus} was asked.
   */
  public Call start(
      Prompt prompt, long session, String tenant, boolean clientRepeat, String key, Sink sink) {
    Call call =
        new Call(prompt, session, tenant, clientRepeat, guarded(prompt, key) ? key : null, sink);
    open.add(call);
    sink.taken(call);
    if (call.key == null) {
      call.begin();
    } else {
      guard.callStarted(
          call.key,
          durable -> {
            if (call.answer.state() == Answer.State.ENDED) {
              return; // its client left meanwhile
            }
            if (durable) {
              call.begin();
            } else {
              synchronized (sink.lock()) { // nothing was sent anywhere
                call.answer.onRejected(GatewaySettings.micros(settings.limits().retryAdviceMs()));
              }
            }
          });
    }
    return call;
  }

  /** Ends every call as failed, as when the time to stop is over. */
  public void cutAll(String why) {
    List.copyOf(open).forEach(c -> c.cut(why));
  }

  /** One client's call. Loop thread only. */
  public final class Call implements Answer.Actions {
    private final Prompt prompt;
    private final long session;
    private final boolean clientRepeat;
    private final Sink sink;
    private final GatewaySettings.ClassSettings requestClass;
    private final Answer answer;
    private final CallMetrics count;
    private final Loop.Timer aimLimit;
    private final Map<String, Loop.Timer> toolLimits = new HashMap<>();
    private long leg;
    private boolean paused;
    private boolean quiet;
    private int legs;
    private final long takenAt = loop.now();
    private boolean begun;

    /** Its key in the book of calls that must not run twice; null if it is not in there. */
    private final String key;

    private boolean begunLegs;
    private boolean waits;
    private final Set<String> relayed = new HashSet<>();

    private Call(
        Prompt prompt, long session, String tenant, boolean clientRepeat, String key, Sink sink) {
      this.key = key;
      this.prompt = prompt;
      this.session = session;
      this.clientRepeat = clientRepeat;
      this.sink = sink;
      this.requestClass = settings.classes().get(prompt.classId());
      this.count =
          tally.requestAccepted(
              prompt.classId(), tenant, clientRepeat, prompt.promptTokens(), loop.now());
      this.aimLimit = loop.schedule(count.latencyObjectiveMicros(), count::onObjectivePassed);
      this.answer =
          new Answer(
              this,
              new Answer.Limits(
                  prompt.maxTokens(),
                  requestClass.maxTurns(),
                  requestClass.maxToolCallsPerTurn(),
                  requestClass.maxToolArgumentBytes(),
                  settings.limits().maxResumptions(),
                  settings.streamsResume() && requestClass.repeat().equals("safe")));
    }

    private void begin() {
      begunLegs = true;
      synchronized (sink.lock()) {
        answer.begin();
      }
    }

    /** A tool's result; false if none is awaited under that id. */
    public boolean result(String callId, ToolResult result) {
      ToolResult kept =
          result.text().length() <= requestClass.maxToolResultBytes()
              ? result
              : new ToolResult(
                  "the tool's result was larger than "
                      + requestClass.maxToolResultBytes()
                      + " characters",
                  true);
      Loop.Timer limit = toolLimits.remove(callId);
      if (limit != null) {
        limit.cancel();
        toolsWaiting--;
        count.onToolCallAnswered();
        if (key != null) {
          guard.toolCallAnswered(key, remembered(callId));
        }
      }
      synchronized (sink.lock()) {
        return answer.onToolResult(callId, kept);
      }
    }

    /** The client left or cancelled; the sink hears nothing more. */
    public void leave(String why) {
      synchronized (sink.lock()) {
        quiet = true;
        answer.cancel(why);
      }
    }

    @Override
    public void cancelRequest() {
      ledger.cancelRequest(leg);
    }

    /** Takes no more of the answer until {@link #resume}. */
    public void pause() {
      paused = true;
      ledger.pauseOutput(leg);
    }

    /** Takes the answer again. */
    public void resume() {
      paused = false;
      ledger.resumeOutput(leg);
    }

    private void cut(String why) {
      synchronized (sink.lock()) {
        if (answer.state() != Answer.State.ENDED) {
          answer.cancel(why);
        }
      }
    }

    @Override
    public void startRequest(
        List<Answer.Turn> turns, String partial, int maxTokens, boolean resumed) {
      waits(false);
      ObjectNode body = body(turns, partial);
      int added = 0;
      for (Answer.Turn turn : turns) {
        added += length(turn);
      }
      int tokens = prompt.promptTokens() + (added + partial.length()) / CHARS_A_TOKEN;
      DispatchedRequest<ObjectNode> spec =
          new DispatchedRequest<>(
              prompt.classId(),
              0,
              session,
              prompt.prefixKey(),
              tokens,
              prompt.prefixTokens(),
              maxTokens,
              requestClass.deadlineMicros(tokens),
              clientRepeat && legs == 0,
              resumed,
              sink.shard(),
              body);
      legs++;
      leg = ledger.submit(spec, new Listener());
      if (paused) {
        ledger.pauseOutput(leg);
      }
    }

    /**
     * The messages as the engine takes them; a partial answer is gone on with by vLLM's published
     * switches.
     */
    private ObjectNode body(List<Answer.Turn> turns, String partial) {
      ObjectNode body = JsonNodeFactory.instance.objectNode();
      body.put("model", settings.engines().model());
      ArrayNode messages = body.putArray("messages").addAll(prompt.messages());
      for (Answer.Turn turn : turns) {
        ObjectNode said = messages.addObject().put("role", "assistant").put("content", turn.text());
        ArrayNode calls = said.putArray("tool_calls");
        for (ToolCall call : turn.calls()) {
          calls
              .addObject()
              .put("id", call.id())
              .put("type", "function")
              .putObject("function")
              .put("name", call.name())
              .put("arguments", call.arguments());
        }
        for (int i = 0; i < turn.calls().size(); i++) {
          messages
              .addObject()
              .put("role", "tool")
              .put("tool_call_id", turn.calls().get(i).id())
              .put("content", turn.results().get(i).text());
        }
      }
      if (!partial.isEmpty()) {
        messages.addObject().put("role", "assistant").put("content", partial);
        body.put("continue_final_message", true).put("add_generation_prompt", false);
      }
      if (prompt.tools() != null) {
        body.set("tools", prompt.tools());
      }
      return body;
    }

    private static int length(Answer.Turn turn) {
      return turn.text().length()
          + turn.calls().stream().mapToInt(c -> c.arguments().length()).sum()
          + turn.results().stream().mapToInt(r -> r.text().length()).sum();
    }

    @Override
    public void deliver(CharSequence piece, int tokens) {
      count.onDelivered(loop.now());
      if (gradient != null && !begun) {
        begun = true;
        gradient.recordFirstToken(loop.now() - takenAt, open.size());
      }
      sink.deliver(piece, tokens);
    }

    @Override
    public void relay(ToolCall call) {
      waits(true);
      if (waitingAnswers > settings.limits().maxWaitingAnswers()) {
        // the newest: the others may be answered any moment

        cut("too many answers wait for their tools");
        return;
      }
      toolsWaiting++;
      count.onToolCallRelayed(loop.now());
      limit(call, GatewaySettings.micros(requestClass.toolTimeoutMs()));
      if (key == null) {
        relayed.add(call.id());
        sink.relay(call);
        return;
      }
      guard.toolCallRelayed(
          key,
          remembered(call.id()),
          call.name(),
          durable -> {
            synchronized (sink.lock()) {
              if (!answer.pendingToolCalls().contains(call)) {
                return; // it took so long that nobody waits for it any more
              }
              if (durable) {
                relayed.add(call.id());
                sink.relay(call);
                return;
              }
            }
            result(
                call.id(),
                new ToolResult("the call was not made: it could not be remembered", true));
          });
    }

    /** Models may use an id again in a later turn. */
    private String remembered(String callId) {
      return legs + "/" + callId;
    }

    private void waits(boolean now) {
      if (waits != now) {
        waits = now;
        waitingAnswers += now ? 1 : -1;
      }
    }

    private void limit(ToolCall call, long after) {
      toolLimits.put(
          call.id(),
          loop.schedule(
              after,
              () -> {
                lateness.detectStall(loop.now());
                long putOff = lateness.remainingGraceMicros(loop.now());
                if (putOff > 0) { // the result may wait at the socket
                  limit(call, putOff);
                  return;
                }
                toolLimits.remove(call.id());
                toolsWaiting--;
                count.onToolCallLost();
                synchronized (sink.lock()) {
                  answer.onToolTimeout(call.id());
                }
              }));
    }

    @Override
    public void withdraw(ToolCall call, String why) {
      if (relayed.remove(call.id())) {
        sink.withdraw(call, why);
      }
    }

    @Override
    public void ended(Answer.Outcome ending) {
      aimLimit.cancel();
      count.onEnded(loop.now(), ending);
      toolsWaiting -= toolLimits.size();
      toolLimits.values().forEach(Loop.Timer::cancel);
      toolLimits.clear();
      open.remove(this);
      waits(false);
      if (key != null) {
        guard.callEnded(
            key,
            ending.kind() == Answer.OutcomeKind.SERVED
                ? CallStatus.COMPLETED
                : ending.kind() == Answer.OutcomeKind.REJECTED || !begunLegs
                    ? CallStatus.NEVER_RAN
                    : CallStatus.MAY_HAVE_RUN);
      }
      if (!quiet) {
        sink.ended(ending);
      }
    }

    /** Hands a leg's events to the answer. */
    private final class Listener implements RequestListener<CompletionChunk>, DirectOutput {
      @Override
      public void chunk(CompletionChunk chunk) {
        synchronized (sink.lock()) {
          answer.onChunk(chunk);
        }
      }

      @Override
      public Optional<DirectOutput> directOutput() {
        return Optional.of(this);
      }

      /**
       * On an I/O thread. The first token of a turn is the loop's: it counts, and the module hears
       * of it.
       */
      @Override
      public boolean offer(CharSequence text, int answerTokens) {
        if (text.length() > MOST_DIRECT) {
          return false;
        }
        synchronized (sink.lock()) {
          return count.inTurn() && sink.flows() && answer.onText(text, answerTokens);
        }
      }

      @Override
      public void completed() {
        synchronized (sink.lock()) {
          answer.onRequestCompleted();
        }
      }

      @Override
      public void interrupted(String cause) {
        synchronized (sink.lock()) {
          answer.onStreamBroken(cause);
        }
      }

      @Override
      public void rejected(long retryAfterMicros) {
        synchronized (sink.lock()) {
          answer.onRejected(retryAfterMicros);
        }
      }

      @Override
      public void failed() {
        synchronized (sink.lock()) {
          answer.onFailed();
        }
      }
    }
  }

  /**
   * What a client gave in answer to a relayed {@code tools/call}: a result or an error of JSON-RPC.
   */
  public static ToolResult toolResult(JsonNode result, JsonNode error) {
    if (error != null) {
      return new ToolResult(
          "error " + error.path("code").asText() + ": " + error.path("message").asText(""), true);
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : result.path("content")) {
      if (part.path("type").asText("").equals("text")) {
        text.append(text.isEmpty() ? "" : "\n").append(part.path("text").asText(""));
      } else {
        text.append(text.isEmpty() ? "" : "\n").append(part);
      }
    }
    if (text.isEmpty() && result.has("structuredContent")) {
      text.append(result.get("structuredContent"));
    }
    return new ToolResult(text.toString(), result.path("isError").asBoolean(false));
  }

  /**
   * The session key of a conversation, the same at all gateways; null stands for one that is not
   * named.
   */
  public static long sessionKey(String conversation, String fallback) {
    return StableHash.of(
        conversation != null ? "conversation " + conversation : "call " + fallback);
  }
}
