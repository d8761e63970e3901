package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemondock.faultinjection.HttpMessageReader.Message;
import lemondock.faultinjection.RunRecord.Announcement;

/**
 * An emulator of one gateway's discovery agent. It answers with the full endpoint list, or holds a
 * watch until the list changes or the watch times out. Thread-safe; each connection has its own
 * thread.
 */
final class DiscoveryAgent implements AutoCloseable {
  private static final int BACKLOG = 64;

  private final String gatewayName;
  private final RunRecord runRecord;
  private final ServerSocket serverSocket;

  /** By server id; guarded by {@code this}, as is the version. */
  private final Map<String, ListEntry> entries = new LinkedHashMap<>();

  private int version = 1;

  /** A server and the list version that introduced its current state. */
  private record ListEntry(ListedServer server, int version) {}

  /** The body of an answer, and the servers that the body lists. */
  private record Answer(String body, List<ListedServer> servers) {}

  /** Starts listening on a free port on loopback. */
  DiscoveryAgent(String gatewayName, RunRecord runRecord) throws IOException {
    this.gatewayName = gatewayName;
    this.runRecord = runRecord;
    this.serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    DaemonThreads.start("discovery-" + gatewayName, this::acceptConnections);
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", serverSocket.getLocalPort());
  }

  /** Adds a server to the list, or replaces its entry, and wakes the waiting watches. */
  synchronized void update(ListedServer server) {
    version++;
    entries.put(server.id(), new ListEntry(server, version));
    notifyAll();
  }

  /** The full list in the JSON form of both a gateway's configuration and an answer. */
  synchronized String fullListJson() {
    return listJson(true, listedServers());
  }

  private List<ListedServer> listedServers() {
    return entries.values().stream().map(ListEntry::server).toList();
  }

  private String listJson(boolean full, Collection<ListedServer> servers) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + servers.stream().map(ListedServer::toJson).collect(Collectors.joining(","))
        + "]}";
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = serverSocket.accept();
        DaemonThreads.start("watch-" + gatewayName, () -> serve(socket));
      }
    } catch (IOException e) {
      // the agent was closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Optional<Message> request = HttpMessageReader.read(in);
      while (request.isPresent()) {
        answer(socket, request.get());
        request = HttpMessageReader.read(in);
      }
    } catch (IOException | RuntimeException e) {
      // the gateway has disconnected
    }
  }

  private void answer(Socket socket, Message request) throws IOException {
    String target = request.target();
    Answer answer = target.contains("since=") ? awaitChanges(target) : fullList();
    String head = "HTTP/1.1 200 OK\r\ncontent-length: " + answer.body().length() + "\r\n\r\n";
    HttpMessageWriter.write(socket, head + answer.body());
    long writtenMicros = MonotonicClock.nowMicros();
    for (ListedServer server : answer.servers()) {
      runRecord.addAnnouncement(
          new Announcement(gatewayName, server.id(), server.state(), writtenMicros));
    }
  }

  private synchronized Answer fullList() {
    return new Answer(fullListJson(), listedServers());
  }

  private synchronized Answer awaitChanges(String target) {
    int since = queryParameter(target, "since=");
    int timeoutMillis = queryParameter(target, "timeout_ms=");
    awaitVersionAfter(
        since, MonotonicClock.nowMicros() + TimeUnit.MILLISECONDS.toMicros(timeoutMillis));
    List<ListedServer> changed = new ArrayList<>();
    for (ListEntry entry : entries.values()) {
      if (entry.version() > since) {
        changed.add(entry.server());
      }
    }
    return new Answer(listJson(false, changed), changed);
  }

  private synchronized void awaitVersionAfter(int since, long deadlineMicros) {
    try {
      while (version <= since && MonotonicClock.nowMicros() < deadlineMicros) {
        long remainingMicros = deadlineMicros - MonotonicClock.nowMicros();
        wait(Math.max(1, TimeUnit.MICROSECONDS.toMillis(remainingMicros)));
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(
          "interrupted while a watch waits for a version after " + since, e);
    }
  }

  private static int queryParameter(String target, String name) {
    int begin = target.indexOf(name) + name.length();
    int end = target.indexOf('&', begin);
    return Integer.parseInt(end < 0 ? target.substring(begin) : target.substring(begin, end));
  }

  /** Stops accepting connections. Open ones end when their gateway exits. */
  @Override
  public void close() throws IOException {
    serverSocket.close();
  }
}
