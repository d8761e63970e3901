package lemondock.gateway.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import lemondock.gateway.accounting.CallMetrics;
import lemondock.gateway.answer.ToolCall;
import lemondock.gateway.answer.ToolResult;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/** The tool calls of one call that its client is asked to run. Loop thread only. */
final class ToolCallRelay {
  private final ClientCall call;
  private final CallSink sink;
  private final CallMetrics metrics;
  private final Optional<DurableCall> durable;
  private final Loop loop;
  private final StallMonitor stallMonitor;
  private final OpenCalls openCalls;
  private final int maxWaitingCalls;
  private final long timeoutMicros;

  /** By the tool calls' ids, for those whose results have not come. */
  private final Map<String, Loop.Timer> timeouts = new HashMap<>();

  /** Ids of the tool calls that the client has been sent. */
  private final Set<String> sentIds = new HashSet<>();

  private boolean waitingForTools;

  ToolCallRelay(
      ClientCall call,
      CallSink sink,
      CallMetrics metrics,
      Optional<DurableCall> durable,
      CallContext context) {
    this.call = call;
    this.sink = sink;
    this.metrics = metrics;
    this.durable = durable;
    this.loop = context.loop();
    this.stallMonitor = context.stallMonitor();
    this.openCalls = context.openCalls();
    this.maxWaitingCalls = context.settings().limits().maxWaitingAnswers();
    this.timeoutMicros = GatewaySettings.micros(call.requestClass().toolTimeoutMs());
  }

  /** Asks the client to run a tool, once it is durable that it was asked. */
  void relay(ToolCall toolCall) {
    setWaitingForTools(true);
    if (openCalls.waitingForTools() > maxWaitingCalls) {
      // the newest is interrupted: the others may get their results any moment
      call.interrupt("too many answers wait for their tools");
      return;
    }
    openCalls.addPendingToolCalls(1);
    metrics.onToolCallRelayed(loop.now());
    startTimeout(toolCall, timeoutMicros);
    if (durable.isEmpty()) {
      send(toolCall);
    } else {
      durable
          .get()
          .toolCallRelayed(
              storedId(toolCall.id()),
              toolCall.name(),
              isDurable -> relayCommitted(toolCall, isDurable));
    }
  }

  private void relayCommitted(ToolCall toolCall, boolean isDurable) {
    synchronized (sink.outputLock()) {
      if (!call.awaits(toolCall)) {
        return; // the commit took so long that the result is not needed any more
      }
      if (isDurable) {
        send(toolCall);
        return;
      }
    }
    call.toolResult(
        toolCall.id(), new ToolResult("the call was not made: it could not be remembered", true));
  }

  private void send(ToolCall toolCall) {
    sentIds.add(toolCall.id());
    sink.relay(toolCall);
  }

  /** Models may use an id again in a later turn. */
  private String storedId(String toolCallId) {
    return call.requestsSent() + "/" + toolCallId;
  }

  private void startTimeout(ToolCall toolCall, long delayMicros) {
    timeouts.put(toolCall.id(), loop.schedule(delayMicros, () -> timeoutDue(toolCall)));
  }

  private void timeoutDue(ToolCall toolCall) {
    stallMonitor.detectStall(loop.now());
    long graceMicros = stallMonitor.remainingGraceMicros(loop.now());
    if (graceMicros > 0) { // the result may have arrived and not been read
      startTimeout(toolCall, graceMicros);
      return;
    }
    timeouts.remove(toolCall.id());
    openCalls.addPendingToolCalls(-1);
    metrics.onToolCallLost();
    call.toolTimedOut(toolCall.id());
  }

  /** A result has come, for whatever id the client gives. */
  void answered(String toolCallId) {
    Loop.Timer timeout = timeouts.remove(toolCallId);
    if (timeout != null) {
      timeout.cancel();
      openCalls.addPendingToolCalls(-1);
      metrics.onToolCallAnswered();
      durable.ifPresent(guarded -> guarded.toolCallAnswered(storedId(toolCallId)));
    }
  }

  /** The result is not needed any more; the client hears so if it was sent the tool call. */
  void withdraw(ToolCall toolCall, String reason) {
    if (sentIds.remove(toolCall.id())) {
      sink.withdraw(toolCall, reason);
    }
  }

  /** No result is awaited any more. */
  void cancelTimeouts() {
    openCalls.addPendingToolCalls(-timeouts.size());
    timeouts.values().forEach(Loop.Timer::cancel);
    timeouts.clear();
  }

  /** Whether the call waits for nothing but results of tools. */
  void setWaitingForTools(boolean waiting) {
    if (waitingForTools != waiting) {
      waitingForTools = waiting;
      openCalls.addWaitingForTools(waiting ? 1 : -1);
    }
  }
}
