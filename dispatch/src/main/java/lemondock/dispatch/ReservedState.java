package lemondock.dispatch;

/**
 * A state that a prefill has reserved at a server.
 *
 * @param attemptId id of the prefill
 * @param state its name in the engines' protocol
 */
record ReservedState<S>(Endpoint endpoint, String attemptId, S state, long reservedAtMicros) {}
