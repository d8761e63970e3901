package lemondock.gateway;

/**
 * Resources of the process that are in use. Safe for any thread; a read may take some time, so
 * methods are called off the loop unless they say otherwise.
 */
public interface ProcessResources {
  /** Reports no usage and no limits, so that no resource ever appears scarce. */
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

  /**
   * Fraction of memory that stays in use after garbage collection, 0 to 1; 0 if it is not known.
   */
  double memoryUsedFraction();

  /** Updates the measurement of memory in use; may take long. */
  default void refreshMemory() {}

  /**
   * Total time (microseconds) for which the runtime has stopped the whole process so far, for
   * example to collect garbage. Fast enough to be called on the loop.
   */
  default long pausedMicros() {
    return 0;
  }

  /** Fraction of the allowed file handles that is in use, 0 to 1; 0 if it is not known. */
  double fileHandlesUsedFraction();

  /** Number of file handles that the process may have open. */
  long maxFileHandles();
}
