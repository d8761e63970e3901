package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * What one client saw of one call on its own socket. Times are microseconds of the machine's
 * monotonic clock.
 */
public final class CallRecord {
  public final String mark;
  public final String gateway;
  public final int classId;
  public final int promptChars;
  public final boolean retry;
  public final long calledAtMicros;
  public long firstMessageAtMicros;
  public long answeredAtMicros;
  public long cancelledAtMicros;
  public long connectionLostAtMicros;

  /** The gateway could not be reached, or did not know the session: it never took the call. */
  public boolean notAccepted;

  public int responses;
  public int messagesAfterAnswer;
  public int tokens;
  public int errorCode;
  public boolean retryable;
  public long retryAfterMs;

  /** What the gateway says became of an earlier try; null if it says nothing. */
  public String earlierAttemptOutcome;

  public String finalText = "";
  public final StringBuilder streamed = new StringBuilder();
  public final List<String> toolCalls = new ArrayList<>();
  public final List<String> protocolViolations = new ArrayList<>();

  CallRecord(
      String mark,
      String gateway,
      int classId,
      int promptChars,
      boolean retry,
      long calledAtMicros) {
    this.mark = mark;
    this.gateway = gateway;
    this.classId = classId;
    this.promptChars = promptChars;
    this.retry = retry;
    this.calledAtMicros = calledAtMicros;
  }

  /** Whether it was answered with a result. */
  public boolean served() {
    return responses > 0 && errorCode == 0;
  }
}
