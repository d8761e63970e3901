import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's discovery: the whole list, and watches that wait for changes. */
final class Discovery {
  private static final Pattern WATCH = Pattern.compile("since=(\\d+)&timeout_ms=(\\d+)");

  private final ServerSocket listener;
  private final List<ModelServer> servers;

  /** Entries by the version that they came with; version 1 is the list of the start. */
  private final List<String> changes = new ArrayList<>();

  Discovery(List<ModelServer> servers) throws IOException {
    this.servers = servers;
    this.listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    ModelServer.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  synchronized String fullList() {
    StringBuilder list = new StringBuilder();
    for (ModelServer server : servers) {
      list.append(list.length() == 0 ? "" : ",").append(server.entry());
    }
    return "{\"version\":" + (changes.size() + 1) + ",\"full\":true,\"servers\":[" + list + "]}";
  }

  /** Tells a new state of a server. */
  synchronized void change(ModelServer server, String state) {
    server.state = state;
    changes.add(server.entry());
    notifyAll();
  }

  private synchronized String changesSince(int version, long timeoutMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + timeoutMillis * 1_000_000;
    while (changes.size() + 1 <= version) {
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      wait(leftMillis);
    }
    int from = Math.min(changes.size(), Math.max(0, version - 1));
    return "{\"version\":"
        + (changes.size() + 1)
        + ",\"full\":false,\"servers\":["
        + String.join(",", changes.subList(from, changes.size()))
        + "]}";
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        ModelServer.start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Message request = Message.readRequest(in);
          request != null;
          request = Message.readRequest(in)) {
        Matcher watch = WATCH.matcher(request.startLine);
        String list =
            watch.find()
                ? changesSince(Integer.parseInt(watch.group(1)), Long.parseLong(watch.group(2)))
                : fullList();
        String answer =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + list.length()
                + "\r\n\r\n"
                + list;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException | InterruptedException e) {
      // The watch has ended.
    }
  }
}
