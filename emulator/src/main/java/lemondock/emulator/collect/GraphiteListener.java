package lemondock.emulator.collect;

import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Emulates carbon, the receiver of Graphite: the plaintext or pickle protocol over blocking
 * sockets, with faults. Its public methods may be called by any thread.
 */
public final class GraphiteListener implements AutoCloseable {
  private static final int MAX_FRAME_BYTES = 1 << 20;
  private static final int BYTES_BEFORE_RESET = 500;
  private static final long NOISE_SEED = 7;
  private static final int NOISE_BYTES = 4_096;

  private final ServerSocket server;
  private final boolean pickle;
  private final ReceivedReports received = new ReceivedReports();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final Fault fault;
  private volatile int connections;

  /** A fault of the listener. */
  public enum Fault {
    /** Behaves normally. */
    NONE,
    /** Accepts connections and reads nothing. */
    NEVER_READS,
    /** Reads one byte per second. */
    BYTE_A_SECOND,
    /** Resets each connection after it has read some bytes. */
    RESETS,
    /** Reads normally, and sends random bytes all the time. */
    GARBAGE
  }

  /**
   * Listens on a port of the loopback interface; 0 chooses a free one.
   *
   * @param pickle whether to read the pickle protocol instead of plaintext
   */
  public GraphiteListener(int port, boolean pickle, Fault fault) throws IOException {
    this.pickle = pickle;
    this.fault = fault;
    this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    DaemonThreads.start("carbon-accept", this::accept);
  }

  /** The port that it listens on. */
  public int port() {
    return server.getLocalPort();
  }

  /** The values received, by path. */
  public ReceivedReports received() {
    return received;
  }

  /** The number of connections accepted so far. */
  public int connections() {
    return connections;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections++;
        openSockets.add(socket);
        DaemonThreads.start("carbon-read", () -> serve(socket));
      } catch (IOException e) {
        return; // the listener was closed
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      switch (fault) {
        case NEVER_READS -> Thread.sleep(Long.MAX_VALUE);
        case BYTE_A_SECOND -> {
          while (socket.getInputStream().read() >= 0) {
            Thread.sleep(1_000);
          }
        }
        case RESETS -> {
          socket.getInputStream().readNBytes(BYTES_BEFORE_RESET);
          socket.setSoLinger(true, 0);
        }
        case GARBAGE -> {
          DaemonThreads.start("carbon-noise", () -> sendNoise(socket));
          read(socket.getInputStream());
        }
        default -> read(socket.getInputStream());
      }
    } catch (IOException e) {
      // the gateway has disconnected, or the listener was closed
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      openSockets.remove(socket);
    }
  }

  private static void sendNoise(Socket socket) {
    byte[] noise = new byte[NOISE_BYTES];
    new Random(NOISE_SEED).nextBytes(noise);
    try {
      while (true) {
        socket.getOutputStream().write(noise);
      }
    } catch (IOException e) {
      // the gateway has disconnected
    }
  }

  private void read(InputStream in) throws IOException {
    if (pickle) {
      readFrames(new DataInputStream(in));
    } else {
      readLines(new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)));
    }
  }

  private void readLines(BufferedReader lines) throws IOException {
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      String[] parts = line.split(" ");
      try {
        BigDecimal value = new BigDecimal(parts[1]);
        received.add(parts[0], Long.parseLong(parts[2]) * 1000, List.of(value));
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        received.addUnreadable();
      }
    }
  }

  private void readFrames(DataInputStream in) throws IOException {
    while (true) {
      int length = in.readInt(); // throws at the end of the stream, which ends the thread
      if (length < 0 || length > MAX_FRAME_BYTES) {
        received.addUnreadable();
        return;
      }
      byte[] frame = in.readNBytes(length);
      try {
        for (Object point : (List<?>) PickleReader.read(frame)) {
          addPoint((List<?>) point);
        }
      } catch (RuntimeException | IOException e) {
        received.addUnreadable();
      }
    }
  }

  /** Adds a point of the form {@code (path, (seconds, value))}. */
  private void addPoint(List<?> point) {
    List<?> timestampAndValue = (List<?>) point.get(1);
    long seconds = ((BigInteger) timestampAndValue.get(0)).longValueExact();
    Object number = timestampAndValue.get(1);
    BigDecimal value =
        number instanceof BigInteger integer
            ? new BigDecimal(integer)
            : BigDecimal.valueOf((Double) number);
    received.add((String) point.get(0), seconds * 1000, List.of(value));
  }

  /** The values with the newest timestamp of each path. */
  public Map<String, ReceivedReports.Entry> newest() {
    return received.newest();
  }

  /** Resets all open connections and continues to listen. */
  public void resetConnections() {
    for (Socket socket : openSockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // already closed
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    resetConnections();
  }
}
