package lemondock.benchmark;

import java.util.List;

/**
 * The program of a child process that a benchmark starts. It prints {@code ready PORT} once it
 * listens and runs until the process is terminated.
 */
interface ChildProgram {
  /**
   * Runs the program in this process.
   *
   * @param arguments the command-line arguments that {@link ChildProcess} passes after the name
   */
  void run(List<String> arguments) throws Exception;
}
