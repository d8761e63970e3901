package lemondock.net.nio;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Ends the process when a thread that it cannot work without has ended, or when the Java virtual
 * machine has failed, so that whoever started the process starts it again. A lack of memory is the
 * most likely cause, so nothing is allocated and no class is loaded after the construction. Any
 * thread.
 */
public final class ProcessHalt implements Thread.UncaughtExceptionHandler {
  /** Exit code: an internal software error (EX_SOFTWARE of sysexits.h). */
  public static final int EXIT_CODE = 70;

  private static final byte[] MESSAGE =
      ("lemondock: fatal: out of memory, or a thread has ended; the process ends with code "
              + EXIT_CODE
              + "\n")
          .getBytes(StandardCharsets.US_ASCII);

  private final FileOutputStream standardError = new FileOutputStream(FileDescriptor.err);
  private final Runtime runtime = Runtime.getRuntime();

  /** Loads the classes that the JVM needs to end. */
  public ProcessHalt() {
    runtime.addShutdownHook(new Thread(() -> {}));
  }

  @Override
  public void uncaughtException(Thread thread, Throwable cause) {
    halt();
  }

  /**
   * Ends the process if the failure of a task leaves the whole process in an unknown state. A stack
   * overflow does not: it is the task's own.
   */
  public void haltIfFatal(Throwable failure) {
    if (failure instanceof VirtualMachineError && !(failure instanceof StackOverflowError)) {
      halt();
    }
  }

  private void halt() {
    try {
      standardError.write(MESSAGE);
    } catch (IOException e) {
      // the exit code tells it too
    } finally {
      runtime.halt(EXIT_CODE);
    }
  }
}
