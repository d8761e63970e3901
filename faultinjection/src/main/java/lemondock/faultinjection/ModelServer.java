package lemondock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import lemondock.net.nio.LoopbackPort;

/**
 * An emulator of one model server, a reader or a writer. It can hang (accept connections but
 * process nothing), crash, and restart at the same address. It records each request that it
 * received completely while it ran. Each connection has its own thread; the methods may be called
 * from any thread.
 */
final class ModelServer implements AutoCloseable {
  /** The start time of a server that has been up for a long time. */
  static final long LONG_AGO_MILLIS = 0;

  private static final int BACKLOG = 256;

  private final Options options;
  private final RunRecord runRecord;
  private final LoopbackPort reservedPort = LoopbackPort.reserve();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

  /** Replaced at each start, so that requests of the previous process occupy no slot. */
  private volatile Semaphore freeSlots;

  private volatile ServerSocket serverSocket;
  private volatile boolean hanging;
  private volatile long startedMillis;

  /**
   * The fixed properties of a server.
   *
   * @param slots number of requests that can run at the same time
   * @param maxQueueMicros how long a request may wait for a slot before it is rejected
   * @param pace how the server streams answers, if it is a writer
   */
  record Options(
      String id, String zone, ServerRole role, int slots, long maxQueueMicros, StreamPace pace) {}

  /** Creates and starts a server that counts as having been up for a long time. */
  ModelServer(Options options, RunRecord runRecord) throws IOException {
    this.options = options;
    this.runRecord = runRecord;
    ConnectionThreads.prepare();
    start(LONG_AGO_MILLIS);
  }

  /**
   * Starts an emulated process. Its address is the same at each start.
   *
   * @param newStartedMillis wall time of the start, as endpoint lists state it
   */
  void start(long newStartedMillis) throws IOException {
    ServerSocket newServerSocket = new ServerSocket();
    newServerSocket.setReuseAddress(true);
    newServerSocket.bind(reservedPort.address(), BACKLOG);
    freeSlots = new Semaphore(options.slots(), true);
    startedMillis = newStartedMillis;
    serverSocket = newServerSocket;
    DaemonThreads.start("accept-" + id(), () -> acceptConnections(newServerSocket));
  }

  private void acceptConnections(ServerSocket listener) {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        openSockets.add(socket);
        ConnectionThreads.execute(() -> serve(socket));
      }
    } catch (IOException e) {
      // the server crashed or was closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      new ModelServerConnection(this, socket, runRecord).serve();
    } catch (IOException | RuntimeException e) {
      // the gateway disconnected, or the server crashed
    } finally {
      openSockets.remove(socket);
    }
  }

  /**
   * Crashes: open connections are reset, new ones are refused, and the reserved states are lost.
   */
  void crash() {
    try {
      serverSocket.close();
    } catch (IOException e) {
      throw new IllegalStateException("cannot close the port of server " + id(), e);
    }
    for (Socket socket : openSockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // the gateway closed it first
      }
    }
    runRecord.reservedStates().recordServerCrash(id());
  }

  /** Makes the server hang, or resume; when it resumes, it processes what has arrived meanwhile. */
  void setHanging(boolean newHanging) {
    hanging = newHanging;
  }

  boolean isHanging() {
    return hanging;
  }

  String id() {
    return options.id();
  }

  String zone() {
    return options.zone();
  }

  ServerRole role() {
    return options.role();
  }

  long maxQueueMicros() {
    return options.maxQueueMicros();
  }

  StreamPace pace() {
    return options.pace();
  }

  /** The slots of the current process. */
  Semaphore freeSlots() {
    return freeSlots;
  }

  InetSocketAddress address() {
    return reservedPort.address();
  }

  /** Wall time of the last start in milliseconds, 0 if that was long ago. */
  long startedMillis() {
    return startedMillis;
  }

  @Override
  public void close() {
    crash();
    hanging = false;
    reservedPort.close();
  }
}
