package lemondock.benchmark;

import java.util.List;

/**
 * What a process that a benchmark starts does: it prints {@code ready PORT} once it listens and
 * runs until it is ended.
 */
interface ChildProgram {
  /** Runs in this process; the arguments are those of {@link ChildProcess}. */
  void run(List<String> arguments) throws Exception;
}
