package lemondock.gateway;

/** What the process has left; may take some time to tell, so it is asked off the loop. */
public interface ProcessResources {
  /** Knows nothing and so never tells of want. */
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

  /** Part of the memory that is in use for good, 0 to 1; 0 if it cannot be told. */
  double memoryUsedFraction();

  /** Has the figure of the memory be a fresh one; may take long. */
  default void refreshMemory() {}

  /**
   * Microseconds for which the runtime has stopped the whole process so far, as to collect garbage;
   * quick to tell, any thread.
   */
  default long pausedMicros() {
    return 0;
  }

  /** Part of the file handles that is in use, 0 to 1; 0 if it cannot be told. */
  double fileHandlesUsedFraction();

  /** File handles that the process may have open. */
  long maxFileHandles();
}
