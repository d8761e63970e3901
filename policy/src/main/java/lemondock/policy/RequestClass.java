package lemondock.policy;

/**
 * One class of requests. Times in microseconds; objective and deadline run from the request's
 * arrival to its first token.
 *
 * @param latencyObjectiveMicros when the first token should come, for a prompt without tokens
 * @param objectiveMicrosPerThousandTokens what each thousand tokens of the prompt add to it
 * @param deadlineMicros when the first token, or another final answer, must have come
 * @param priorityWeight what an answer in time counts; classes of lower weight are rejected first
 * @param latePriorityWeight what a late answer counts
 * @param deduplicationScope which servers drop the repeats of a request with an idempotency key
 * @param deduplicationWindowMicros for how long they do
 * @param tokenIntervalObjectiveMicros wanted time between two tokens of an answer; 0 if not told
 */
public record RequestClass(
    long latencyObjectiveMicros,
    long objectiveMicrosPerThousandTokens,
    long deadlineMicros,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowMicros,
    long tokenIntervalObjectiveMicros) {}
