package lemondock.gateway.accounting;

import lemondock.gateway.answer.Answer;

/**
 * What is counted of one client's call, from its arrival to its end. It judges whether the call got
 * what was wanted: the first token within the aim, the rest at the wanted pace. Time is passed in;
 * one thread. Each call is counted once under one ending, whatever order its events come in.
 */
public final class CallMetrics {
  private static final double LATE_PACE = 2;

  private final GatewayMetrics counts;
  private final GatewayMetrics.ClassSeries of;
  private final GatewayMetrics.TenantSeries request;
  private final long arrivedAt;
  private final long aim;
  private long firstAt;
  private long turnSince;
  private long writing;
  private long relayed;
  private long settled;
  private boolean judgedBad;
  private boolean ended;

  CallMetrics(
      GatewayMetrics counts,
      GatewayMetrics.ClassSeries of,
      GatewayMetrics.TenantSeries request,
      long arrivedAt,
      long aim) {
    this.counts = counts;
    this.of = of;
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.aim = aim;
  }

  /** Microseconds after its arrival at which the first token is due. */
  public long aim() {
    return aim;
  }

  /** The aim's time is over; a call without a token is late from here on. */
  public void aimPassed() {
    if (firstAt == 0 && !ended) {
      bad();
    }
  }

  /** A piece of the answer was delivered; cheap, as it comes with each token. */
  public void delivered(long now) {
    if (turnSince == 0) {
      turnSince = now;
      if (firstAt == 0) {
        firstAt = now;
        first(now);
      }
    }
  }

  /**
   * Whether a piece of the turn under way was delivered; further ones change nothing that is
   * counted.
   */
  public boolean inTurn() {
    return turnSince != 0;
  }

  private void first(long now) {
    long took = now - arrivedAt;
    long ticket = counts.recorder().enter();
    counts.recorder().record(of.firstToken, took);
    if (took <= aim) {
      counts.recorder().add(of.verdicts.slot(0), 1);
    }
    counts.recorder().exit(ticket);
    if (took > aim) {
      bad();
    }
  }

  private void bad() {
    if (!judgedBad) {
      judgedBad = true;
      counts.recorder().count(of.verdicts.slot(1));
    }
  }

  /** A tool call was sent to the client; the time until the next token is not the writer's. */
  public void relayed(long now) {
    turnEnded(now);
    relayed++;
    counts.recorder().count(of.tools.slot(0));
  }

  /** A tool's result came back. */
  public void answered() {
    settled++;
    counts.recorder().count(of.tools.slot(1));
  }

  /** A tool call was withdrawn, or its result came too late to be of use. */
  public void lost() {
    settled++;
    counts.recorder().count(of.tools.slot(2));
  }

  /** Tool calls that wait for their result. */
  public long waiting() {
    return relayed - settled;
  }

  private void turnEnded(long now) {
    if (turnSince != 0) {
      writing += now - turnSince;
      turnSince = 0;
    }
  }

  /** The call has ended. */
  public void ended(long now, Answer.Outcome ending) {
    if (ended) {
      return;
    }
    ended = true;
    turnEnded(now);
    boolean served = ending.end() == Answer.OutcomeKind.SERVED;
    double pace = ending.tokens() > 1 ? (double) writing / (ending.tokens() - 1) : 0;
    boolean prompt = firstAt != 0 ? firstAt - arrivedAt <= aim : now - arrivedAt <= aim;
    boolean inTime = served && prompt && pace <= of.tokenAim;
    final boolean late = served && !inTime && pace <= LATE_PACE * of.tokenAim;
    final long ticket = counts.recorder().enter();
    counts
        .recorder()
        .add(request.requests().slot(GatewayMetrics.SERVED + ending.end().ordinal()), 1);
    counts.recorder().record(of.wholeTime, now - arrivedAt);
    if (ending.tokens() > 1) {
      counts.recorder().record(of.tokenPace, (long) pace);
    }
    if (inTime) {
      counts.recorder().add(request.worth().slot(2), of.worth);
    } else if (late) {
      counts.recorder().add(request.worth().slot(3), of.lateWorth);
    }
    if (served && firstAt == 0 && inTime) {
      counts.recorder().add(of.verdicts.slot(0), 1); // an answer without a token of text
    }
    if (waiting() > 0) {
      counts.recorder().add(of.tools.slot(2), waiting());
      settled = relayed;
    }
    counts.recorder().exit(ticket);
    if (!inTime && ending.end() != Answer.OutcomeKind.LEFT) {
      bad();
    }
  }
}
