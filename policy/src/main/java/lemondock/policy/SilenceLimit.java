package lemondock.policy;

/**
 * How long a stream may be silent before its server counts as hung. A server that sends few events
 * is silent for longer between them, so a stream is also measured by its own past.
 *
 * @param minMicros least silence of a hung stream, in microseconds
 * @param gapMultiple a hung stream is silent for more than this multiple of the longest time
 *     between two events that it has had
 */
public record SilenceLimit(long minMicros, int gapMultiple) {
  /**
   * Whether a stream counts as hung.
   *
   * @param silentMicros time since the last byte of an event, in microseconds
   * @param longestGapMicros longest time between data so far, in microseconds; 0 if unknown
   */
  public boolean isExceeded(long silentMicros, long longestGapMicros) {
    return silentMicros >= minMicros && silentMicros > gapMultiple * longestGapMicros;
  }
}
