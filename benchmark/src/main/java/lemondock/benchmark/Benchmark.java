package lemondock.benchmark;

/** One measurement of docs/PERFORMANCE.md. */
interface Benchmark {
  /**
   * Measures and prints the result to standard output. Processes that it started are ended when it
   * returns, or by {@link BenchmarkMain} if it fails.
   */
  void run() throws Exception;
}
