package lemondock.policy;

/** Why a request was parked, tried again, released or ended. */
public enum DecisionReason {
  /** Its deadline, or the end that a shutdown leaves it, has come. */
  DEADLINE,
  /** It could not end before this gateway may be killed. */
  SHUTTING_DOWN,
  /** It waited for room until another attempt would have been too late. */
  NO_ROOM,
  /** It waits for room, or for a reader that would be in time. */
  PARKED,
  /** No reader may take it, or each would be too late. */
  NO_READER,
  /** No writer may take it. */
  NO_WRITER,
  /** Too few attempts are left for an answer. */
  ATTEMPTS_SPENT,
  /** Its client's time was over when an attempt ended. */
  TIME_SPENT,
  /** The budget for retries is spent. */
  RETRIES_SPENT,
  /** Another attempt follows one that did not end well. */
  RETRY,
  /** An attempt took far longer than it should and was called off. */
  CALLED_OFF,
  /** What readers hold, or may hold, was released. */
  RELEASED
}
