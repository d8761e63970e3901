package lemondock.gateway.accounting;

import lemondock.gateway.answer.AnswerOutcome;
import lemondock.metrics.Recorder;

/**
 * What is counted of one client's call, from its arrival to its end. It judges whether the call got
 * what its class promises: the first token within the latency objective, the rest at the wanted
 * pace. Each call is counted once under one outcome, whatever order its events come in. Loop thread
 * only, but for {@link #inTurn}; time is passed in.
 */
public final class CallMetrics {
  /** An answer up to so many times slower than its objective still earns the late weight. */
  private static final double LATE_PACE_FACTOR = 2;

  private final Recorder recorder;
  private final ClassSeries classSeries;
  private final TenantSeries tenantSeries;
  private final long arrivedAtMicros;
  private final long latencyObjectiveMicros;

  /** 0 before the first token. */
  private long firstTokenAtMicros;

  /**
   * When the first token of the current turn was delivered, 0 before. Changed on the loop with the
   * call's output lock held, so that an I/O thread that holds it may read it.
   */
  private long turnStartedAtMicros;

  /** Time from the first token of each turn to its end, turns that have ended. */
  private long generatingMicros;

  private long toolCallsRelayed;
  private long toolCallsSettled;
  private boolean countedBad;
  private boolean ended;

  /** How a call that has ended was served. */
  private enum Service {
    /** The first token and the pace met their objectives. */
    IN_TIME,
    /** The answer is complete, but late. */
    LATE,
    /** No answer, or one too slow to be of use. */
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

  /** Microseconds after its arrival at which the first token is due. */
  public long latencyObjectiveMicros() {
    return latencyObjectiveMicros;
  }

  /** The time of the objective is over; a call without a token is late from here on. */
  public void onObjectivePassed() {
    if (firstTokenAtMicros == 0 && !ended) {
      countBad();
    }
  }

  /** A piece of the answer was delivered; cheap, as it comes with each token. */
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
   * Whether a piece of the current turn was delivered; further ones change nothing that is counted.
   */
  public boolean inTurn() {
    return turnStartedAtMicros != 0;
  }

  private void recordFirstToken(long nowMicros) {
    long elapsedMicros = nowMicros - arrivedAtMicros;
    long ticket = recorder.beginUpdate();
    recorder.observe(classSeries.firstToken, elapsedMicros);
    if (elapsedMicros <= latencyObjectiveMicros) {
      recorder.add(classSeries.verdicts.slot(ClassSeries.GOOD), 1);
    }
    recorder.endUpdate(ticket);
    if (elapsedMicros > latencyObjectiveMicros) {
      countBad();
    }
  }

  private void countBad() {
    if (!countedBad) {
      countedBad = true;
      recorder.increment(classSeries.verdicts.slot(ClassSeries.BAD));
    }
  }

  /** A tool call was sent to the client; the time until the next token is not the engine's. */
  public void onToolCallRelayed(long nowMicros) {
    endTurn(nowMicros);
    toolCallsRelayed++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_RELAYED));
  }

  /** A tool's result came back. */
  public void onToolCallAnswered() {
    toolCallsSettled++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_ANSWERED));
  }

  /** A tool call was withdrawn, or its result came too late to be of use. */
  public void onToolCallLost() {
    toolCallsSettled++;
    recorder.increment(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_LOST));
  }

  /** Tool calls that wait for their result. */
  public long pendingToolCalls() {
    return toolCallsRelayed - toolCallsSettled;
  }

  private void endTurn(long nowMicros) {
    if (turnStartedAtMicros != 0) {
      generatingMicros += nowMicros - turnStartedAtMicros;
      turnStartedAtMicros = 0;
    }
  }

  /** The call has ended; only the first call of this counts. */
  public void onEnded(long nowMicros, AnswerOutcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    endTurn(nowMicros);
    final Service service = service(nowMicros, outcome);
    final long ticket = recorder.beginUpdate();
    recorder.add(tenantSeries.outcomeSlot(outcome.kind()), 1);
    recordTimes(nowMicros, outcome.totals().tokens());
    recordService(service);
    loseToolCalls();
    recorder.endUpdate(ticket);
    if (service != Service.IN_TIME && outcome.kind() != AnswerOutcome.Kind.CANCELLED) {
      countBad();
    }
  }

  private Service service(long nowMicros, AnswerOutcome outcome) {
    if (outcome.kind() != AnswerOutcome.Kind.SERVED) {
      return Service.MISSED;
    }
    double microsPerToken = microsPerToken(outcome.totals().tokens());
    long firstAtMicros = firstTokenAtMicros != 0 ? firstTokenAtMicros : nowMicros;
    if (firstAtMicros - arrivedAtMicros <= latencyObjectiveMicros
        && microsPerToken <= classSeries.tokenObjectiveMicros) {
      return Service.IN_TIME;
    }
    return microsPerToken <= LATE_PACE_FACTOR * classSeries.tokenObjectiveMicros
        ? Service.LATE
        : Service.MISSED;
  }

  private double microsPerToken(int tokens) {
    return tokens > 1 ? (double) generatingMicros / (tokens - 1) : 0;
  }

  private void recordTimes(long nowMicros, int tokens) {
    recorder.observe(classSeries.wholeTime, nowMicros - arrivedAtMicros);
    if (tokens > 1) {
      recorder.observe(classSeries.tokenPace, (long) microsPerToken(tokens));
    }
  }

  private void recordService(Service service) {
    if (service == Service.IN_TIME) {
      recorder.add(tenantSeries.weightInTimeSlot(), classSeries.priorityWeight);
      if (firstTokenAtMicros == 0) { // an answer without a token of text
        recorder.add(classSeries.verdicts.slot(ClassSeries.GOOD), 1);
      }
    } else if (service == Service.LATE) {
      recorder.add(tenantSeries.weightLateSlot(), classSeries.latePriorityWeight);
    }
  }

  private void loseToolCalls() {
    if (pendingToolCalls() > 0) {
      recorder.add(classSeries.toolCalls.slot(ClassSeries.TOOL_CALLS_LOST), pendingToolCalls());
      toolCallsSettled = toolCallsRelayed;
    }
  }
}
