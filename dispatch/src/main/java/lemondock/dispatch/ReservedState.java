package lemondock.dispatch;

/**
 * A state that a prefill has reserved at a server.
 *
 * @param attemptId attempt id of the prefill
 * @param state the state as the engines' protocol represents it
 * @param reservedAtMicros time at which the prefill completed
 */
record ReservedState<S>(Endpoint endpoint, String attemptId, S state, long reservedAtMicros) {}
