package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;

/**
 * A stand-in for one gateway's discovery agent: tells the whole list, then changes to whoever
 * watches.
 */
final class DiscoveryAgent implements AutoCloseable {
  private final String gateway;
  private final RunRecord truth;
  private final ServerSocket port;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final AtomicInteger version = new AtomicInteger(1);

  /** One server as listed here; {@code changed} is the version that brought it. */
  record Entry(
      String id,
      String address,
      String zone,
      String kind,
      String state,
      long startedMillis,
      int changed) {
    String json() {
      return "{\"id\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"kind\":\"%s\",\"cell\":0,\"state\":\"%s\",\"weight\":1.0,\"started_ms\":%d}"
          .formatted(id, address, zone, kind, state, startedMillis);
    }
  }

  DiscoveryAgent(String gateway, RunRecord truth) throws IOException {
    this.gateway = gateway;
    this.truth = truth;
    this.port = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Thread accept = new Thread(this::accept, "discovery-" + gateway);
    accept.setDaemon(true);
    accept.start();
  }

  InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", port.getLocalPort());
  }

  /** Lists a server anew. */
  synchronized void list(
      String id, String address, String zone, String kind, String state, long startedMillis) {
    entries.put(
        id, new Entry(id, address, zone, kind, state, startedMillis, version.incrementAndGet()));
    notifyAll();
  }

  /** The list as a gateway's configuration and a whole answer have it. */
  synchronized String whole() {
    return sheet(
        true, entries.values().stream().filter(entry -> !entry.state().equals("gone")).toList());
  }

  private String sheet(boolean full, List<Entry> some) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + some.stream().map(Entry::json).collect(Collectors.joining(","))
        + "]}";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = port.accept();
        Thread serve = new Thread(null, () -> serve(socket), "watch-" + gateway, 128 * 1024);
        serve.setDaemon(true);
        serve.start();
      }
    } catch (IOException e) {
      // closed
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (HttpMessageReader.Message message = HttpMessageReader.read(in);
          message != null;
          message = HttpMessageReader.read(in)) {
        String query = message.first().split(" ")[1];
        List<Entry> news = new ArrayList<>();
        String body = query.contains("since=") ? changes(query, news) : told(news);
        socket
            .getOutputStream()
            .write(
                HttpMessageReader.bytes(
                    "HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body));
        long at = MonotonicClock.now();
        news.forEach(
            entry -> truth.told.add(new RunRecord.Told(gateway, entry.id(), entry.state(), at)));
      }
    } catch (IOException | RuntimeException e) {
      // the gateway has gone
    }
  }

  private synchronized String told(List<Entry> news) {
    news.addAll(entries.values());
    return whole();
  }

  private synchronized String changes(String query, List<Entry> news) {
    int since = number(query, "since=");
    long until = MonotonicClock.now() + number(query, "timeout_ms=") * MonotonicClock.MILLI;
    try {
      while (version.get() <= since && MonotonicClock.now() < until) {
        wait(Math.max(1, (until - MonotonicClock.now()) / MonotonicClock.MILLI));
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
    entries.values().stream().filter(entry -> entry.changed() > since).forEach(news::add);
    return sheet(false, news);
  }

  private static int number(String query, String name) {
    int at = query.indexOf(name) + name.length();
    int end = query.indexOf('&', at);
    return Integer.parseInt(end < 0 ? query.substring(at) : query.substring(at, end));
  }

  @Override
  public void close() throws IOException {
    port.close();
  }
}
