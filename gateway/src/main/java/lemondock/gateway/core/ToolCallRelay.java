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

/** Relays the tool calls of one call to its client and tracks their timeouts. Loop thread only. */
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

  /** Timeouts of the tool calls whose results are outstanding, by tool call id. */
  private final Map<String, Loop.Timer> timeouts = new HashMap<>();

  /** Ids of the tool calls that were sent to the client. */
  private final Set<String> sentIds = new HashSet<>();

  private boolean isWaitingForTools;

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

  /**
   * Relays a tool call to the client. For a durable call, the tool call is committed to the
   * idempotency log first.
   */
  void relay(ToolCall toolCall) {
    setWaitingForTools(true);
    if (openCalls.waitingForTools() > maxWaitingCalls) {
      // interrupts the newest call, because the others may receive their results at any moment
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
              isDurable -> onRelayCommitted(toolCall, isDurable));
    }
  }

  private void onRelayCommitted(ToolCall toolCall, boolean isDurable) {
    synchronized (sink.outputLock()) {
      if (!call.isAwaitingResult(toolCall)) {
        return; // the call ended or the tool call timed out during the commit
      }
      if (isDurable) {
        send(toolCall);
        return;
      }
    }
    call.receiveToolResult(
        toolCall.id(), new ToolResult("the call was not made: it could not be remembered", true));
  }

  private void send(ToolCall toolCall) {
    sentIds.add(toolCall.id());
    sink.relay(toolCall);
  }

  /** Includes the request number, because a model may reuse an id in a later turn. */
  private String storedId(String toolCallId) {
    return call.requestsSent() + "/" + toolCallId;
  }

  private void startTimeout(ToolCall toolCall, long delayMicros) {
    timeouts.put(toolCall.id(), loop.schedule(delayMicros, () -> onTimeout(toolCall)));
  }

  private void onTimeout(ToolCall toolCall) {
    stallMonitor.detectStall(loop.now());
    long graceMicros = stallMonitor.remainingGraceMicros(loop.now());
    if (graceMicros > 0) { // the result may have arrived without having been read yet
      startTimeout(toolCall, graceMicros);
      return;
    }
    timeouts.remove(toolCall.id());
    openCalls.addPendingToolCalls(-1);
    metrics.onToolCallLost();
    call.toolTimedOut(toolCall.id());
  }

  /** Stops the timeout of a tool call; ignores an id for which no result is outstanding. */
  void resultReceived(String toolCallId) {
    Loop.Timer timeout = timeouts.remove(toolCallId);
    if (timeout != null) {
      timeout.cancel();
      openCalls.addPendingToolCalls(-1);
      metrics.onToolCallAnswered();
      durable.ifPresent(durableCall -> durableCall.toolCallAnswered(storedId(toolCallId)));
    }
  }

  /** Tells the client that a result is no longer needed, if the tool call was sent to it. */
  void withdraw(ToolCall toolCall, String reason) {
    if (sentIds.remove(toolCall.id())) {
      sink.withdraw(toolCall, reason);
    }
  }

  /** Cancels the timeouts of all outstanding results. */
  void cancelTimeouts() {
    openCalls.addPendingToolCalls(-timeouts.size());
    timeouts.values().forEach(Loop.Timer::cancel);
    timeouts.clear();
  }

  /** Sets whether the call waits only for results of tools. */
  void setWaitingForTools(boolean isWaiting) {
    if (isWaitingForTools != isWaiting) {
      isWaitingForTools = isWaiting;
      openCalls.addWaitingForTools(isWaiting ? 1 : -1);
    }
  }
}
