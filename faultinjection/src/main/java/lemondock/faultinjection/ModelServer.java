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
 * An emulator of one model server, a reader or a writer. It can hang (accept connections and take
 * nothing), die and start again at the same address. It records what reached it with its last byte
 * while it ran. Each connection has a thread of its own; the methods may be called from any thread.
 */
final class ModelServer implements AutoCloseable {
  /** The start time of a server that has been up for long. */
  static final long LONG_AGO_MILLIS = 0;

  private static final int BACKLOG = 256;

  private final Options options;
  private final RunRecord runRecord;
  private final LoopbackPort reservedPort = LoopbackPort.reserve();
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();

  /** Replaced at each start: what ran before it counts no more. */
  private volatile Semaphore freeSlots;

  private volatile ServerSocket serverSocket;
  private volatile boolean hanging;
  private volatile long startedMillis;

  /**
   * What a server is.
   *
   * @param slots requests that run at the same time
   * @param maxQueueMicros how long a request may wait for a slot before it is rejected
   */
  record Options(String id, String zone, ServerRole role, int slots, long maxQueueMicros) {}

  /** Makes and starts a server that counts as up for long. */
  ModelServer(Options options, RunRecord runRecord) throws IOException {
    this.options = options;
    this.runRecord = runRecord;
    start(LONG_AGO_MILLIS);
  }

  /**
   * Starts a process, always at the same address.
   *
   * @param newStartedMillis wall time of the start as endpoint lists state it
   */
  void start(long newStartedMillis) throws IOException {
    ServerSocket newSocket = new ServerSocket();
    newSocket.setReuseAddress(true);
    newSocket.bind(reservedPort.address(), BACKLOG);
    freeSlots = new Semaphore(options.slots(), true);
    startedMillis = newStartedMillis;
    serverSocket = newSocket;
    DaemonThreads.start("accept-" + id(), () -> acceptConnections(newSocket));
  }

  private void acceptConnections(ServerSocket from) {
    try {
      while (true) {
        Socket socket = from.accept();
        socket.setTcpNoDelay(true);
        openSockets.add(socket);
        DaemonThreads.start("serve-" + id(), () -> serve(socket));
      }
    } catch (IOException e) {
      // it has died
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      new ModelServerConnection(this, socket, runRecord).serve();
    } catch (IOException | RuntimeException e) {
      // its peer has gone, or it died
    } finally {
      openSockets.remove(socket);
    }
  }

  /** Dies: its connections are reset, new ones are refused, its reserved states are lost. */
  void die() {
    try {
      serverSocket.close();
    } catch (IOException e) {
      throw new IllegalStateException(id() + " cannot close its port", e);
    }
    for (Socket socket : openSockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // its peer was quicker
      }
    }
    runRecord.reservedStates().serverDied(id());
  }

  /** Hangs, or goes on with what has come meanwhile. */
  void setHanging(boolean isHanging) {
    hanging = isHanging;
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

  /** The slots of the present process. */
  Semaphore freeSlots() {
    return freeSlots;
  }

  InetSocketAddress address() {
    return reservedPort.address();
  }

  /** Wall time of its last start in milliseconds, 0 for long ago. */
  long startedMillis() {
    return startedMillis;
  }

  @Override
  public void close() {
    die();
    hanging = false;
    reservedPort.close();
  }
}
