import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A model server that listens on a loopback address; its answers are those of a handler. */
final class ModelServer {
  /** Answers one request whose last byte has arrived. */
  interface Handler {
    void handle(Call call) throws Exception;
  }

  /** A request and the connection that it came on. */
  static final class Call {
    final Socket socket;
    final OutputStream out;
    final Message request;
    final double arrivedMillis;

    Call(Socket socket, Message request, double arrivedMillis) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
      this.request = request;
      this.arrivedMillis = arrivedMillis;
    }

    String id() {
      return request.headers.getOrDefault("x-request-id", "");
    }

    boolean isRelease() {
      return request.startLine.startsWith("DELETE ");
    }

    void respond(String status, String headers, String body) throws IOException {
      send(
          "HTTP/1.1 "
              + status
              + "\r\n"
              + headers
              + (status.startsWith("204") ? "" : "Content-Length: " + body.length() + "\r\n")
              + "\r\n"
              + body);
    }

    void promptRead(int cachedTokens) throws IOException {
      respond(
          "202 Accepted",
          "Content-Type: application/json\r\n",
          "{\"cached_tokens\":" + cachedTokens + "}");
    }

    void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Resets the connection. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  static final String LAST_CHUNK = "0\r\n\r\n";

  final String id;
  final String kind;
  final String zone;
  final ServerSocket listener;
  volatile String state = "ready";

  private final Trace trace;
  private final Handler handler;

  ModelServer(String id, String kind, String zone, Trace trace, Handler handler)
      throws IOException {
    this.id = id;
    this.kind = kind;
    this.zone = zone;
    this.trace = trace;
    this.handler = handler;
    this.listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  static void start(Runnable task) {
    Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** An event with a part of the answer, in a chunk of its own. */
  static String event(String content) {
    return chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
            + content
            + "\"},\"finish_reason\":null}]}\n\n");
  }

  /** The last events of an answer, in one chunk. */
  static String lastEvents(int promptTokens, int answerTokens) {
    return chunk(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n"
            + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":"
            + promptTokens
            + ",\"completion_tokens\":"
            + answerTokens
            + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
            + "data: [DONE]\n\n");
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  String entry() {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"kind\":\""
        + kind
        + "\",\"cell\":0,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
      for (Message request = Message.readRequest(in);
          request != null;
          request = Message.readRequest(in)) {
        handler.handle(new Call(socket, request, trace.nowMillis()));
      }
    } catch (Exception e) {
      // The connection has ended; the handler records what matters.
    }
  }
}
