package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * What a client observed of one call on its own socket. Times are microseconds of the machine's
 * monotonic clock, 0 for events that did not happen. Written on the client's loop; read there or
 * after the call has ended.
 */
public final class CallRecord {
  /** Identifies the call in its prompt; the mark of a retry ends in {@code -try} and a number. */
  public final String mark;

  public final String gateway;
  public final int classId;
  public final int promptChars;
  public final boolean retry;
  public final long calledAtMicros;

  /** Time of the first progress notification or relayed tool call. */
  public long firstMessageAtMicros;

  public long answeredAtMicros;
  public long cancelledAtMicros;

  /** Time at which the connection was lost, or the stream ended, without an answer. */
  public long connectionLostAtMicros;

  /** The gateway could not be reached, rejected the call early, or did not know the session. */
  public boolean notAccepted;

  /** Number of final answers received. */
  public int responses;

  public int messagesAfterAnswer;
  public int tokens;

  /** The JSON-RPC error code of the answer; 0 for a result. */
  public int errorCode;

  public boolean retryable;
  public long retryAfterMs;

  /** Outcome of an earlier attempt as reported by the gateway; null if it reported none. */
  public String earlierAttemptOutcome;

  public String finalText = "";
  public final StringBuilder streamed = new StringBuilder();

  /** Name and arguments of each relayed tool call. */
  public final List<String> toolCalls = new ArrayList<>();

  /** Descriptions of received messages that the protocol does not allow. */
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

  /** Whether the call was answered with a result. */
  public boolean served() {
    return responses > 0 && errorCode == 0;
  }

  /** A summary of the call for failure messages of tests. */
  @Override
  public String toString() {
    return mark
        + " at "
        + gateway
        + ": responses "
        + responses
        + ", error "
        + errorCode
        + (retryable ? " (retryable after " + retryAfterMs + " ms)" : "")
        + (notAccepted ? ", not accepted" : "")
        + ", tokens "
        + tokens
        + ", micros from the call to first message "
        + sinceCall(firstMessageAtMicros)
        + ", answer "
        + sinceCall(answeredAtMicros)
        + ", lost connection "
        + sinceCall(connectionLostAtMicros)
        + "; text: "
        + finalText;
  }

  private String sinceCall(long atMicros) {
    return atMicros == 0 ? "none" : Long.toString(atMicros - calledAtMicros);
  }

  /** The mark of the call's first attempt, which is the same for all retries. */
  String markOfFirstAttempt() {
    return mark.replaceAll("-try\\d+$", "");
  }
}
