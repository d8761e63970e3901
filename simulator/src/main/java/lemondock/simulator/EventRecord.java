package lemondock.simulator;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;

/**
 * One record of a frame. Each method reads fields that only certain kinds of event have. The
 * constants are offsets from the start of the record; its first byte is the code of the event.
 */
final class EventRecord {
  static final int BYTES = 64;

  /** The first field of most events: the id of an instance, a request or a timer. */
  private static final int ID = 1;

  private static final int FIRST_TOKEN_ATTEMPT = 9;
  private static final int FIRST_TOKEN_SERVER = 11;
  private static final int FIRST_TOKEN_TIME_MILLIS = 15;

  private static final int RESULT_ENDS_REQUEST = 9;
  private static final int RESULT_OUTCOME = 10;
  private static final int RESULT_TIME_MILLIS = 12;
  private static final int RESULT_ATTEMPT = 20;
  private static final int RESULT_SERVER = 22;
  private static final int RESULT_DETAIL = 26;

  private static final int REQUEST_CLASS = 9;
  private static final int REQUEST_TENANT = 11;
  private static final int REQUEST_SESSION = 15;
  private static final int REQUEST_TIMEOUT_MILLIS = 23;
  private static final int REQUEST_WRITE_HINT_MILLIS = 31;
  private static final int REQUEST_PREFIX = 39;
  private static final int REQUEST_PROMPT_TOKENS = 47;
  private static final int REQUEST_PREFIX_TOKENS = 51;
  private static final int REQUEST_MAX_ANSWER_TOKENS = 55;
  private static final int REQUEST_FLAGS = 59;

  private static final int FLAG_HAS_WRITE_HINT = 1;
  private static final int FLAG_CLIENT_RETRY = 2;
  private static final int FLAG_RESUMED = 16;

  private static final int LIST_KIND = 1;
  private static final int LIST_NUMBER = 6;
  private static final int LIST_CONTENT_NUMBER = 1;
  private static final int LIST_CONTENT_START = 5;
  private static final int LIST_CONTENT_COUNT = 9;

  private static final int START_SEED = 1;
  private static final int START_SETTINGS = 9;
  private static final int START_SETTINGS_LENGTH = 13;

  private static final int OUTCOME_PROMPT_READ = 102;

  /** Outcomes, indexed by their codes on the wire. */
  private static final List<AttemptOutcome> OUTCOMES =
      List.of(
          AttemptOutcome.OK,
          AttemptOutcome.ERROR,
          AttemptOutcome.REJECTED,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED,
          AttemptOutcome.ABANDONED_BEFORE_SEND);

  /** Detail of a rejection because the server does not hold the request's state. */
  private static final int DETAIL_STATE_MISSING = 1;

  /** Kinds of endpoint list, indexed by their codes on the wire. */
  private static final List<EndpointListKind> LIST_KINDS =
      List.of(
          EndpointListKind.CHANGES,
          EndpointListKind.FULL_LIST,
          EndpointListKind.CACHED,
          EndpointListKind.FAILED);

  private final EventFrame frame;
  private final ByteBuffer body;
  private final int offset;

  EventRecord(EventFrame frame, ByteBuffer body, int offset) {
    this.frame = frame;
    this.body = body;
    this.offset = offset;
  }

  /** Returns the code on the wire. */
  int wireCode() {
    return unsignedByte(0);
  }

  Optional<EventCode> code() {
    return EventCode.of(wireCode());
  }

  long instance() {
    return unsignedInt(ID);
  }

  /** Returns the id of the event's request or timer. */
  long id() {
    return body.getLong(offset + ID);
  }

  int firstTokenAttempt() {
    return unsignedShort(FIRST_TOKEN_ATTEMPT);
  }

  long firstTokenServer() {
    return unsignedInt(FIRST_TOKEN_SERVER);
  }

  long timeToFirstTokenMicros() {
    return micros(FIRST_TOKEN_TIME_MILLIS);
  }

  EndpointListKind listKind() {
    int code = unsignedByte(LIST_KIND);
    if (code >= LIST_KINDS.size()) {
      throw frame.malformed("unknown endpoint list kind code " + code);
    }
    return LIST_KINDS.get(code);
  }

  /** Returns the content number of the endpoint list that an instance gets. */
  int listNumber() {
    return body.getInt(offset + LIST_NUMBER);
  }

  /** Returns the content number of the endpoint list that this record defines. */
  int listContentNumber() {
    return body.getInt(offset + LIST_CONTENT_NUMBER);
  }

  List<ServerEntry> listContent() {
    return frame.endpoints(unsignedInt(LIST_CONTENT_START), unsignedInt(LIST_CONTENT_COUNT));
  }

  long seed() {
    return body.getLong(offset + START_SEED);
  }

  String settings() {
    return frame.text(unsignedInt(START_SETTINGS), unsignedInt(START_SETTINGS_LENGTH));
  }

  RoutingRequest request() {
    int flags = unsignedByte(REQUEST_FLAGS);
    return RoutingRequest.builder()
        .id(id())
        .classId(unsignedShort(REQUEST_CLASS))
        .tenantId(body.getInt(offset + REQUEST_TENANT))
        .sessionId(body.getLong(offset + REQUEST_SESSION))
        .prefixId(body.getLong(offset + REQUEST_PREFIX))
        .promptTokens(tokens(REQUEST_PROMPT_TOKENS))
        .prefixTokens(tokens(REQUEST_PREFIX_TOKENS))
        .maxAnswerTokens(tokens(REQUEST_MAX_ANSWER_TOKENS))
        .clientTimeoutMicros(micros(REQUEST_TIMEOUT_MILLIS))
        .expectedWriteMicros(
            (flags & FLAG_HAS_WRITE_HINT) != 0 ? micros(REQUEST_WRITE_HINT_MILLIS) : 0)
        .clientRetry((flags & FLAG_CLIENT_RETRY) != 0)
        .resumed((flags & FLAG_RESUMED) != 0)
        .build();
  }

  AttemptResult attemptResult() {
    AttemptOutcome outcome = outcome();
    boolean hasCachedTokens = outcome == AttemptOutcome.PROMPT_READ || outcome == AttemptOutcome.OK;
    int detail = body.getInt(offset + RESULT_DETAIL);
    return AttemptResult.builder()
        .requestId(id())
        .attempt(unsignedShort(RESULT_ATTEMPT))
        .serverId(unsignedInt(RESULT_SERVER))
        .outcome(outcome)
        .elapsedMicros(micros(RESULT_TIME_MILLIS))
        .requestEnded(unsignedByte(RESULT_ENDS_REQUEST) != 0)
        .cachedTokens(hasCachedTokens ? detail : 0)
        .stateMissing(outcome == AttemptOutcome.REJECTED && detail == DETAIL_STATE_MISSING)
        .build();
  }

  private AttemptOutcome outcome() {
    int code = unsignedShort(RESULT_OUTCOME);
    if (code == OUTCOME_PROMPT_READ) {
      return AttemptOutcome.PROMPT_READ;
    }
    if (code >= OUTCOMES.size()) {
      throw frame.malformed("unknown attempt outcome code " + code);
    }
    return OUTCOMES.get(code);
  }

  private int unsignedByte(int field) {
    return EventFrame.unsignedByte(body, offset + field);
  }

  private int unsignedShort(int field) {
    return EventFrame.unsignedShort(body, offset + field);
  }

  private long unsignedInt(int field) {
    return EventFrame.unsignedInt(body, offset + field);
  }

  private int tokens(int field) {
    return Math.round(body.getFloat(offset + field));
  }

  private long micros(int field) {
    return EventFrame.micros(body.getDouble(offset + field));
  }
}
