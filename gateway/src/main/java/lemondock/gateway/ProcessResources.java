package lemondock.gateway;

/**
 * Resources of the process that are in use. Any thread; reading them may take some time, so it is
 * done off the loop where a method does not say otherwise.
 */
public interface ProcessResources {
  /** Knows nothing, so that no resource ever looks scarce. */
  ProcessResources UNKNOWN =
      new ProcessResources() {
        @Override
        public double memoryUsedFraction() {
          return 0;
        }

        @Override
        public double fileHandlesUsedFraction() {
          return 0;
        }

        @Override
        public long maxFileHandles() {
          return Long.MAX_VALUE;
        }
      };

  /** Part of the memory that is in use for good, 0 to 1; 0 if it is not known. */
  double memoryUsedFraction();

  /** Brings the figure of the memory up to date; may take long. */
  default void refreshMemory() {}

  /**
   * Microseconds for which the runtime has stopped the whole process so far, as to collect garbage;
   * quick, so that the loop may call it.
   */
  default long pausedMicros() {
    return 0;
  }

  /** Part of the file handles that is in use, 0 to 1; 0 if it is not known. */
  double fileHandlesUsedFraction();

  /** File handles that the process may have open. */
  long maxFileHandles();
}
