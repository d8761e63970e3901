package lemondock.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * What one client saw of one call on its own socket. Times are microseconds of the machine's
 * monotonic clock, 0 for what did not happen. Written on the client's loop; read there, or when the
 * call is over.
 */
public final class CallRecord {
  /** Name of the call in its prompt; a retry has a suffix. */
  public final String mark;

  public final String gateway;
  public final int classId;
  public final int promptChars;
  public final boolean retry;
  public final long calledAtMicros;

  /** The first progress, or the first relayed tool call. */
  public long firstMessageAtMicros;

  public long answeredAtMicros;
  public long cancelledAtMicros;

  /** The connection was lost, or the stream ended, without an answer. */
  public long connectionLostAtMicros;

  /** The gateway could not be reached, rejected the call early, or did not know the session. */
  public boolean notAccepted;

  /** Final answers. */
  public int responses;

  public int messagesAfterAnswer;
  public int tokens;

  /** The JSON-RPC error of the answer, 0 for a result. */
  public int errorCode;

  public boolean retryable;
  public long retryAfterMs;

  /** What the gateway says of an earlier attempt's outcome; null if it says nothing. */
  public String earlierAttemptOutcome;

  public String finalText = "";
  public final StringBuilder streamed = new StringBuilder();

  /** Name and arguments of each relayed tool call. */
  public final List<String> toolCalls = new ArrayList<>();

  /** What the protocol does not allow, in words. */
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

  /** How the call ended, for messages of checks. */
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

  /** The mark that all attempts of a client at one call share. */
  String markOfFirstAttempt() {
    return mark.replaceAll("-try\\d+$", "");
  }
}
