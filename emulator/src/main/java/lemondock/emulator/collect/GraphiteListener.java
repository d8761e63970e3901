package lemondock.emulator.collect;

import java.io.BufferedReader;
import java.io.ByteArrayInputStream;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for carbon: Graphite's plaintext or pickle protocol over plain blocking sockets, with
 * faults.
 */
public final class GraphiteListener implements AutoCloseable {
  private static final int MOST_FRAME = 1 << 20;

  private final ServerSocket server;
  private final boolean pickle;
  private final ReceivedReports received = new ReceivedReports();
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Fault fault;
  private volatile int connections;

  /**
   * How it misbehaves: it reads nothing, a byte a second, resets after some bytes, or answers with
   * garbage.
   */
  public enum Fault {
    NONE,
    NEVER_READS,
    BYTE_A_SECOND,
    RESETS,
    GARBAGE
  }

  /** Listens on a port of the loopback interface; 0 takes a free one. */
  public GraphiteListener(int port, boolean pickle, Fault fault) throws IOException {
    this.pickle = pickle;
    this.fault = fault;
    this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    start("carbon-accept", this::accept);
  }

  static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** The port taken. */
  public int port() {
    return server.getLocalPort();
  }

  /** What was received. */
  public ReceivedReports received() {
    return received;
  }

  /** Connections taken so far. */
  public int connections() {
    return connections;
  }

  /** Misbehaves from now on, on connections to come. */
  public void fault(Fault now) {
    fault = now;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections++;
        open.add(socket);
        start("carbon-read", () -> serve(socket));
      } catch (IOException e) {
        return; // closed
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
          socket.getInputStream().readNBytes(500);
          socket.setSoLinger(true, 0);
        }
        case GARBAGE -> {
          byte[] noise = new byte[4_096];
          new java.util.Random(7).nextBytes(noise);
          start(
              "carbon-noise",
              () -> {
                try {
                  while (true) {
                    socket.getOutputStream().write(noise);
                  }
                } catch (IOException e) {
                  // the gateway has gone
                }
              });
          read(socket.getInputStream());
        }
        default -> read(socket.getInputStream());
      }
    } catch (IOException e) {
      // the gateway has gone, or the listener is closed
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(socket);
    }
  }

  private void read(InputStream in) throws IOException {
    if (pickle) {
      frames(new DataInputStream(in));
      return;
    }
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      String[] parts = line.split(" ");
      try {
        received.take(parts[0], Long.parseLong(parts[2]) * 1000, List.of(new BigDecimal(parts[1])));
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        received.bad();
      }
    }
  }

  private void frames(DataInputStream in) throws IOException {
    while (true) {
      int length = in.readInt(); // the end of the stream ends the thread
      if (length < 0 || length > MOST_FRAME) {
        received.bad();
        return;
      }
      byte[] frame = in.readNBytes(length);
      try {
        for (Object point : (List<?>) unpickle(frame)) {
          List<?> pair = (List<?>) point;
          List<?> value = (List<?>) pair.get(1);
          Object number = value.get(1);
          received.take(
              (String) pair.get(0),
              ((BigInteger) value.get(0)).longValueExact() * 1000,
              List.of(
                  number instanceof BigInteger whole
                      ? new BigDecimal(whole)
                      : BigDecimal.valueOf((Double) number)));
        }
      } catch (RuntimeException | IOException e) {
        received.bad();
      }
    }
  }

  /** As much of Python's pickle machine as senders of metrics use; anything else is refused. */
  static Object unpickle(byte[] bytes) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    List<Object> stack = new ArrayList<>();
    Object mark = new Object();
    while (true) {
      int code = in.readUnsignedByte();
      switch (code) {
        case 0x80 -> in.readUnsignedByte();
        case ']' -> stack.add(new ArrayList<>());
        case '(' -> stack.add(mark);
        case 'X' ->
            stack.add(
                new String(
                    in.readNBytes(Integer.reverseBytes(in.readInt())), StandardCharsets.UTF_8));
        case 'G' -> stack.add(in.readDouble());
        case 0x8a -> {
          byte[] little = in.readNBytes(in.readUnsignedByte());
          byte[] big = new byte[little.length];
          for (int i = 0; i < little.length; i++) {
            big[i] = little[little.length - 1 - i];
          }
          stack.add(new BigInteger(big));
        }
        case 0x86 -> {
          Object second = stack.remove(stack.size() - 1);
          stack.add(List.of(stack.remove(stack.size() - 1), second));
        }
        case 'e' -> {
          int at = stack.lastIndexOf(mark);
          List<Object> items = new ArrayList<>(stack.subList(at + 1, stack.size()));
          stack.subList(at, stack.size()).clear();
          @SuppressWarnings("unchecked")
          List<Object> list = (List<Object>) stack.get(stack.size() - 1);
          list.addAll(items);
        }
        case '.' -> {
          return stack.get(0);
        }
        default -> throw new IOException("opcode " + code + " is not known");
      }
    }
  }

  /** The newest value of each path. */
  public Map<String, ReceivedReports.Entry> newest() {
    return received.newest();
  }

  /** Breaks all connections and goes on listening. */
  public void breakAll() {
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // gone already
      }
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    breakAll();
  }
}
