package lemondock.gateway.accounting;

import lemondock.gateway.answer.Answer;

/**
 * What is counted of one client's call, from its arrival to its end. It judges whether the call got
 * what was wanted: the first token within the aim, the rest at the wanted pace. Time is passed in;
 * one thread. Each call is counted once under one ending, whatever order its events come in.
 */
public final class CallMetrics {
  private static final double LATE_PACE_FACTOR = 2;

  private final GatewayMetrics metrics;
  private final GatewayMetrics.ClassSeries classSeries;
  private final GatewayMetrics.TenantSeries tenantSeries;
  private final long arrivedAtMicros;
  private final long latencyObjectiveMicros;
  private long firstTokenAtMicros;
  private long turnStartedAtMicros;
  private long generatingMicros;
  private long toolCallsRelayed;
  private long toolCallsSettled;
  private boolean countedBad;
  private boolean ended;

  CallMetrics(
      GatewayMetrics metrics,
      GatewayMetrics.ClassSeries classSeries,
      GatewayMetrics.TenantSeries tenantSeries,
      long arrivedAtMicros,
      long latencyObjectiveMicros) {
    this.metrics = metrics;
    this.classSeries = classSeries;
    this.tenantSeries = tenantSeries;
    this.arrivedAtMicros = arrivedAtMicros;
    this.latencyObjectiveMicros = latencyObjectiveMicros;
  }

  /** Microseconds after its arrival at which the first token is due. */
  public long latencyObjectiveMicros() {
    return latencyObjectiveMicros;
  }

  /** The aim's time is over; a call without a token is late from here on. */
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
    long ticket = metrics.recorder().beginUpdate();
    metrics.recorder().observe(classSeries.firstToken, elapsedMicros);
    if (elapsedMicros <= latencyObjectiveMicros) {
      metrics.recorder().add(classSeries.verdicts.slot(0), 1);
    }
    metrics.recorder().endUpdate(ticket);
    if (elapsedMicros > latencyObjectiveMicros) {
      countBad();
    }
  }

  private void countBad() {
    if (!countedBad) {
      countedBad = true;
      metrics.recorder().increment(classSeries.verdicts.slot(1));
    }
  }

  /** A tool call was sent to the client; the time until the next token is not the writer's. */
  public void onToolCallRelayed(long nowMicros) {
    endTurn(nowMicros);
    toolCallsRelayed++;
    metrics.recorder().increment(classSeries.tools.slot(0));
  }

  /** A tool's result came back. */
  public void onToolCallAnswered() {
    toolCallsSettled++;
    metrics.recorder().increment(classSeries.tools.slot(1));
  }

  /** A tool call was withdrawn, or its result came too late to be of use. */
  public void onToolCallLost() {
    toolCallsSettled++;
    metrics.recorder().increment(classSeries.tools.slot(2));
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

  /** The call has ended. */
  public void onEnded(long nowMicros, Answer.Outcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    endTurn(nowMicros);
    boolean served = outcome.kind() == Answer.OutcomeKind.SERVED;
    double microsPerToken =
        outcome.tokens() > 1 ? (double) generatingMicros / (outcome.tokens() - 1) : 0;
    boolean firstTokenInTime =
        firstTokenAtMicros != 0
            ? firstTokenAtMicros - arrivedAtMicros <= latencyObjectiveMicros
            : nowMicros - arrivedAtMicros <= latencyObjectiveMicros;
    boolean inTime =
        served && firstTokenInTime && microsPerToken <= classSeries.tokenObjectiveMicros;
    final boolean late =
        served && !inTime && microsPerToken <= LATE_PACE_FACTOR * classSeries.tokenObjectiveMicros;
    final long ticket = metrics.recorder().beginUpdate();
    metrics
        .recorder()
        .add(
            tenantSeries
                .requests()
                .slot(GatewayMetrics.FIRST_OUTCOME_FIELD + outcome.kind().ordinal()),
            1);
    metrics.recorder().observe(classSeries.wholeTime, nowMicros - arrivedAtMicros);
    if (outcome.tokens() > 1) {
      metrics.recorder().observe(classSeries.tokenPace, (long) microsPerToken);
    }
    if (inTime) {
      metrics.recorder().add(tenantSeries.worth().slot(2), classSeries.priorityWeight);
    } else if (late) {
      metrics.recorder().add(tenantSeries.worth().slot(3), classSeries.latePriorityWeight);
    }
    if (served && firstTokenAtMicros == 0 && inTime) {
      metrics.recorder().add(classSeries.verdicts.slot(0), 1); // an answer without a token of text
    }
    if (pendingToolCalls() > 0) {
      metrics.recorder().add(classSeries.tools.slot(2), pendingToolCalls());
      toolCallsSettled = toolCallsRelayed;
    }
    metrics.recorder().endUpdate(ticket);
    if (!inTime && outcome.kind() != Answer.OutcomeKind.CANCELLED) {
      countBad();
    }
  }
}
