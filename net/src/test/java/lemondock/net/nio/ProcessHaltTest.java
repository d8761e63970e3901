package lemondock.net.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemondock.net.Network;
import lemondock.net.testing.IgnoringHandler;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A process whose essential threads end must end too: one that goes on without them accepts
 * connections and answers nobody, and nothing restarts it.
 */
@Timeout(60)
class ProcessHaltTest {
  private static final int EXIT_TIMEOUT_SECONDS = 30;
  private static final int CHUNK_BYTES = 64 * 1024;

  /** How an essential thread fails. */
  enum Failure {
    /** The heap is full while a task runs on the loop. */
    HEAP_FULL_ON_LOOP,
    /** The heap is full while bytes are decoded on the I/O thread. */
    HEAP_FULL_ON_IO_THREAD,
    /** The loop's thread ends, because the handler of failures fails as well. */
    FAILURE_HANDLER_FAILS
  }

  @ParameterizedTest
  @EnumSource(Failure.class)
  void processEndsWithItsEssentialThreads(Failure failure) throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx16m",
                "-cp",
                System.getProperty("java.class.path"),
                Victim.class.getName(),
                failure.name())
            .redirectErrorStream(true)
            .start();
    try {
      assertTrue(
          process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS),
          "the process lives on without its threads");
      String output =
          new String(process.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertEquals(ProcessHalt.EXIT_CODE, process.exitValue(), output);
      assertTrue(output.contains("lemondock: fatal:"), output);
    } finally {
      process.destroyForcibly();
    }
  }

  /** The program that ends. */
  static final class Victim {
    private static final List<byte[]> HEAP = new ArrayList<>();

    private Victim() {}

    public static void main(String[] args) throws Exception {
      Failure failure = Failure.valueOf(args[0]);
      ProcessHalt halt = new ProcessHalt();
      ThreadLoop loop =
          new ThreadLoop(
              "loop",
              cause -> {
                halt.haltIfFatal(cause);
                throw new IllegalStateException("the handler failed", cause);
              },
              halt);
      switch (failure) {
        case HEAP_FULL_ON_LOOP -> loop.execute(Victim::fillHeap);
        case HEAP_FULL_ON_IO_THREAD -> fillHeapOnIoThread(loop);
        default ->
            loop.execute(
                () -> {
                  throw new IllegalStateException("a defect");
                });
      }
      loop.join(TimeUnit.MINUTES.toMillis(1));
    }

    private static void fillHeap() {
      while (true) {
        HEAP.add(new byte[CHUNK_BYTES]);
      }
    }

    private static void fillHeapOnIoThread(ThreadLoop loop) throws IOException {
      Network.Listener port =
          new AsyncNetwork(loop, 1, 1)
              .listen(
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                  1,
                  HeapFillingHandler::new);
      Socket socket = new Socket(port.address().getAddress(), port.address().getPort());
      socket.getOutputStream().write('x');
    }
  }

  /** Fills the heap when bytes arrive. */
  private static final class HeapFillingHandler extends IgnoringHandler {
    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      Victim.fillHeap();
    }
  }
}
