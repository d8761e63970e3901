package lemondock.gateway.accounting;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.metrics.Recorder;

/**
 * The metrics of one client's call, from its arrival to its end. It decides whether the call met
 * the objectives of its class: the first token within the latency objective, the rest at the
 * objective's pace. Each call is counted once under one outcome, in whatever order its events
 * arrive. Loop thread only, except that an I/O thread that holds the call's output lock may call
 * {@link #inTurn} and, while that returns true, {@link #onDelivered}. Time is passed in.
 */
public final class CallMetrics {
  /**
   * An answer up to this many times slower per token than its objective still earns the late
   * weight.
   */
  private static final double LATE_PACE_FACTOR = 2;

  private final Recorder recorder;
  private final ClassSeries classSeries;
  private final TenantSeries tenantSeries;
  private final long arrivedAtMicros;
  private final long latencyObjectiveMicros;

  /** 0 before the first token. */
  private long firstTokenAtMicros;

  /**
   * Time at which the first token of the current turn was delivered, 0 before. Written on the loop
   * with the call's output lock held, so that an I/O thread that holds the lock may read it.
   */
  private long turnStartedAtMicros;

  /** Total time from the first token of each ended turn to the end of that turn. */
  private long generatingMicros;

  private long toolCallsRelayed;
  private long toolCallsSettled;
  private boolean countedBad;
  private boolean ended;

  /** How well a call that has ended was served. */
  private enum ServiceLevel {
    /** The first token and the pace met their objectives. */
    IN_TIME,
    /** The answer is complete, but missed an objective. */
    LATE,
    /** There is no complete answer, or it was too slow to be useful. */
    MISSED
  }

  CallMetrics(
      Recorder recorder,
      ClassSeries classSeries,
      TenantSeries tenantSeries,
      long arrivedAtMicros,
      long latencyObjectiveMicros) {
    this.recorder = recorder;
    this.classSeries = classSeries;
    this.tenantSeries = tenantSeries;
    this.arrivedAtMicros = arrivedAtMicros;
    this.latencyObjectiveMicros = latencyObjectiveMicros;
  }

  /** Time (microseconds) after the arrival of the call at which the first token is due. */
  public long latencyObjectiveMicros() {
    return latencyObjectiveMicros;
  }

  /**
   * Called when the latency objective has passed; a call that has no token yet is counted as bad.
   */
  public void onObjectivePassed() {
    if (firstTokenAtMicros == 0 && !ended) {
      countBad();
    }
  }

  /**
   * Called when a part of the answer was delivered. Must be cheap, because it is called for each
   * token.
   */
  public void onDelivered(long nowMicros) {
    if (turnStartedAtMicros == 0) {
      turnStartedAtMicros = nowMicros;
      if (firstTokenAtMicros == 0) {
        firstTokenAtMicros = nowMicros;
        recordFirstToken(nowMicros);
      }
    }
  }

  /**
   * Whether a part of the current turn was delivered; delivering further parts does not change the
   * metrics.
   */
  public boolean inTurn() {
    return turnStartedAtMicros != 0;
  }

  private void recordFirstToken(long nowMicros) {
    long elapsedMicros = nowMicros - arrivedAtMicros;
    long ticket = recorder.beginUpdate();
    recorder.observe(classSeries.timeToFirstToken, elapsedMicros);
    if (elapsedMicros <= latencyObjectiveMicros) {
      recorder.add(classSeries.serviceLevelCounts.slot(ClassSeries.GOOD), 1);
    }
    recorder.endUpdate(ticket);
    if (elapsedMicros > latencyObjectiveMicros) {
      countBad();
    }
  }

  private void countBad() {
    if (!countedBad) {
      countedBad = true;
      recorder.increment(classSeries.serviceLevelCounts.slot(ClassSeries.BAD));
    }
  }

  /**
   * Called when a tool call was sent to the client; the time until the next token is not counted as
   * the engine's.
   */
  public void onToolCallRelayed(long nowMicros) {
    endTurn(nowMicros);
    toolCallsRelayed++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_RELAYED));
  }

  /** Called when the result of a tool call arrived. */
  public void onToolCallAnswered() {
    toolCallsSettled++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_ANSWERED));
  }

  /** Called when a tool call was withdrawn, or its result arrived too late to be used. */
  public void onToolCallLost() {
    toolCallsSettled++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_LOST));
  }

  /** Number of tool calls that wait for their result. */
  public long pendingToolCalls() {
    return toolCallsRelayed - toolCallsSettled;
  }

  private void endTurn(long nowMicros) {
    if (turnStartedAtMicros != 0) {
      generatingMicros += nowMicros - turnStartedAtMicros;
      turnStartedAtMicros = 0;
    }
  }

  /** Called when the call has ended; only the first invocation counts. */
  public void onEnded(long nowMicros, AnswerOutcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    endTurn(nowMicros);
    final ServiceLevel serviceLevel = serviceLevel(nowMicros, outcome);
    final long ticket = recorder.beginUpdate();
    recorder.add(tenantSeries.outcomeSlot(outcome.kind()), 1);
    recordDurations(nowMicros, outcome.totals().tokens());
    recordServiceLevel(serviceLevel);
    countPendingToolCallsAsLost();
    recorder.endUpdate(ticket);
    if (serviceLevel != ServiceLevel.IN_TIME && outcome.kind() != AnswerOutcome.Kind.CANCELLED) {
      countBad();
    }
  }

  private ServiceLevel serviceLevel(long nowMicros, AnswerOutcome outcome) {
    if (outcome.kind() != AnswerOutcome.Kind.SERVED) {
      return ServiceLevel.MISSED;
    }
    double microsPerToken = microsPerToken(outcome.totals().tokens());
    long firstAtMicros = firstTokenAtMicros != 0 ? firstTokenAtMicros : nowMicros;
    if (firstAtMicros - arrivedAtMicros <= latencyObjectiveMicros
        && microsPerToken <= classSeries.tokenObjectiveMicros) {
      return ServiceLevel.IN_TIME;
    }
    return microsPerToken <= LATE_PACE_FACTOR * classSeries.tokenObjectiveMicros
        ? ServiceLevel.LATE
        : ServiceLevel.MISSED;
  }

  private double microsPerToken(int tokens) {
    return tokens > 1 ? (double) generatingMicros / (tokens - 1) : 0;
  }

  private void recordDurations(long nowMicros, int tokens) {
    recorder.observe(classSeries.requestDuration, nowMicros - arrivedAtMicros);
    if (tokens > 1) {
      recorder.observe(classSeries.timePerOutputToken, (long) microsPerToken(tokens));
    }
  }

  private void recordServiceLevel(ServiceLevel serviceLevel) {
    if (serviceLevel == ServiceLevel.IN_TIME) {
      recorder.add(tenantSeries.weightInTimeSlot(), classSeries.priorityWeight);
      if (firstTokenAtMicros == 0) { // an answer without a token of text
        recorder.add(classSeries.serviceLevelCounts.slot(ClassSeries.GOOD), 1);
      }
    } else if (serviceLevel == ServiceLevel.LATE) {
      recorder.add(tenantSeries.weightLateSlot(), classSeries.latePriorityWeight);
    }
  }

  private void countPendingToolCallsAsLost() {
    if (pendingToolCalls() > 0) {
      recorder.add(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_LOST), pendingToolCalls());
      toolCallsSettled = toolCallsRelayed;
    }
  }
}
