package lemondock.benchmark;

/** One measurement of docs/PERFORMANCE.md. */
interface Benchmark {
  /**
   * Measures and prints the result to standard output. An implementation ends the processes that it
   * started before it returns; {@link BenchmarkMain} ends them if it fails.
   */
  void run() throws Exception;
}
