import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins for the cases of the second review: discovery, model servers and clients after the
 * users' protocol page, and the start of a gateway by the deploy file's run line. Blocking sockets,
 * one thread a connection, loopback only.
 */
final class Kit {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final long START = System.nanoTime();
  private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();
  private static PrintWriter record;
  private static Path temp;

  private Kit() {}

  interface Body {
    /** Returns whether the rule held; throws if the case could not run. */
    boolean run() throws Exception;
  }

  /** Runs a case, ends all processes and exits with 0, 1 or 2. */
  static void main(String[] args, Body body) throws Exception {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")), true);
    temp = Files.createTempDirectory("review-2-");
    Runtime.getRuntime().addShutdownHook(new Thread(Kit::endProcesses));
    Thread limit = daemon(() -> {
      sleep(115_000);
      log("the case took too long");
      Runtime.getRuntime().halt(exitAfterKill(2));
    });
    limit.start();
    int code;
    try {
      log("trouble: " + (TROUBLE ? "yes" : "no"));
      code = body.run() ? 0 : 1;
    } catch (Throwable e) {
      log("the case could not run: " + e);
      e.printStackTrace(record);
      code = 2;
    }
    log(code == 0 ? "the rule held" : code == 1 ? "THE RULE WAS BROKEN" : "not run");
    System.out.println(code == 0 ? "held" : code == 1 ? "broken" : "not run");
    record.flush();
    Runtime.getRuntime().halt(exitAfterKill(code));
  }

  private static int exitAfterKill(int code) {
    endProcesses();
    return code;
  }

  private static void endProcesses() {
    for (Process process : PROCESSES) {
      process.destroyForcibly();
    }
    try {
      if (temp != null) {
        try (var files = Files.walk(temp)) {
          for (Path path : files.sorted((a, b) -> b.compareTo(a)).toList()) {
            Files.deleteIfExists(path);
          }
        }
      }
    } catch (IOException e) {
      // the system clears its temporary folder
    }
  }

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void log(String line) {
    synchronized (Kit.class) {
      record.printf(Locale.ROOT, "%8.3f %s%n", now(), line);
    }
  }

  static void sleep(double millis) {
    try {
      TimeUnit.NANOSECONDS.sleep((long) (millis * 1e6));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "t", 256 * 1024);
    thread.setDaemon(true);
    return thread;
  }

  static ServerSocket listen() throws IOException {
    return new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = listen()) {
      return socket.getLocalPort();
    }
  }

  /** A message of HTTP/1.1: start line, fields by lower-case name, content. */
  static final class Message {
    String start;
    final Map<String, String> fields = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String field(String name) {
      return fields.getOrDefault(name, "");
    }

    /** Status of a response. */
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new EOFException("end within a line");
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads a head; null at the end of the input. */
  static Message readHead(InputStream in) throws IOException {
    Message message = new Message();
    message.start = line(in);
    if (message.start == null) {
      return null;
    }
    for (String field = line(in); field == null || !field.isEmpty(); field = line(in)) {
      if (field == null) {
        throw new EOFException("end within a head");
      }
      int colon = field.indexOf(':');
      message.fields.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
    }
    return message;
  }

  /** Reads a message with a Content-Length; null at the end of the input. */
  static Message read(InputStream in) throws IOException {
    Message message = readHead(in);
    if (message != null && !message.field("content-length").isEmpty()) {
      int length = Integer.parseInt(message.field("content-length"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("end within the content");
      }
    }
    return message;
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static void respond(OutputStream out, int status, String fields, String body)
      throws IOException {
    String length = status == 204 ? "" : "Content-Length: " + body.length() + "\r\n";
    out.write(ascii("HTTP/1.1 " + status + " X\r\n" + length + fields + "\r\n" + body));
    out.flush();
  }

  /** What discovery lists about one server. */
  static final class Entry {
    final String id;
    final String kind;
    final int cell;
    volatile int port;
    volatile String state = "ready";
    volatile long startedMs;
    volatile long changedAt;

    Entry(String id, String kind, int cell, int port) {
      this.id = id;
      this.kind = kind;
      this.cell = cell;
      this.port = port;
    }

    String json() {
      return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + port + "\",\"zone\":\"a\",\"kind\":\""
          + kind + "\",\"cell\":" + cell + ",\"state\":\"" + state
          + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }
  }

  /** The list that all agents tell. */
  static final class Fleet {
    final List<Entry> entries = new CopyOnWriteArrayList<>();
    private long version = 1;

    synchronized Entry add(String id, String kind, int cell, int port) {
      Entry entry = new Entry(id, kind, cell, port);
      entries.add(entry);
      return entry;
    }

    synchronized void change(Entry entry, String state) {
      entry.state = state;
      entry.changedAt = ++version;
      notifyAll();
    }

    synchronized String list(long since) {
      List<String> listed = new ArrayList<>();
      for (Entry entry : entries) {
        if (since < 0 ? !entry.state.equals("gone") : entry.changedAt > since) {
          listed.add(entry.json());
        }
      }
      return "{\"version\":" + version + ",\"full\":" + (since < 0) + ",\"servers\":["
          + String.join(",", listed) + "]}";
    }

    synchronized void awaitNewer(long since, long millis) throws InterruptedException {
      long end = System.nanoTime() + millis * 1_000_000;
      while (version <= since && end > System.nanoTime()) {
        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      }
    }
  }

  /** Discovery's agent. */
  static final class Discovery {
    final ServerSocket socket = listen();
    private final Fleet fleet;
    private final List<Socket> open = new CopyOnWriteArrayList<>();

    /** Time that each answer takes beyond the wait of a watch. */
    volatile double answerDelayMs;

    Discovery(Fleet fleet) throws IOException {
      this.fleet = fleet;
      daemon(() -> {
        try {
          while (true) {
            Socket accepted = socket.accept();
            accepted.setTcpNoDelay(true);
            open.add(accepted);
            daemon(() -> serve(accepted)).start();
          }
        } catch (IOException e) {
          // closed
        }
      }).start();
    }

    int port() {
      return socket.getLocalPort();
    }

    private void serve(Socket client) {
      try (client) {
        InputStream in = new BufferedInputStream(client.getInputStream());
        for (Message call = read(in); call != null; call = read(in)) {
          String target = call.start.split(" ")[1];
          long since = -1;
          long wait = 0;
          if (target.contains("?")) {
            for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
              if (part.startsWith("since=")) {
                since = Long.parseLong(part.substring(6));
              } else if (part.startsWith("timeout_ms=")) {
                wait = Long.parseLong(part.substring(11));
              }
            }
          }
          if (since >= 0) {
            fleet.awaitNewer(since, wait);
          }
          sleep(answerDelayMs);
          respond(client.getOutputStream(), 200, "Content-Type: application/json\r\n",
              fleet.list(since));
        }
      } catch (IOException | InterruptedException e) {
        // the gateway has closed
      } finally {
        open.remove(client);
      }
    }

    /** Accepts no new connection from now on and closes the open ones 1.5 s later. */
    void retire() throws IOException {
      socket.close();
      daemon(() -> {
        sleep(1500);
        for (Socket each : open) {
          try {
            each.close();
          } catch (IOException e) {
            // closed already
          }
        }
      }).start();
    }
  }

  /** What a model server does with a request; the default is a sound server. */
  interface Behaviour {
    /** Answers one request; the connection is closed after an exception. */
    void serve(Server server, Message request, Socket from, OutputStream out) throws Exception;
  }

  /** One model server: a reader or a writer. */
  static final class Server {
    final ServerSocket socket = listen();
    final String name;
    final boolean reads;
    final Set<String> states;
    final Behaviour behaviour;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    volatile double readMs = 30;
    volatile double tokenMs = 40;

    Server(String name, boolean reads, Set<String> states, Behaviour behaviour)
        throws IOException {
      this.name = name;
      this.reads = reads;
      this.states = states;
      this.behaviour = behaviour;
      daemon(() -> {
        try {
          while (true) {
            Socket accepted = socket.accept();
            accepted.setTcpNoDelay(true);
            daemon(() -> serve(accepted)).start();
          }
        } catch (IOException e) {
          // closed
        }
      }).start();
    }

    int port() {
      return socket.getLocalPort();
    }

    /** Ends the process: resets its connections and refuses new ones. */
    void end() throws IOException {
      socket.close();
      for (Socket each : open) {
        each.setSoLinger(true, 0);
        each.close();
      }
    }

    private void serve(Socket from) {
      open.add(from);
      try (from) {
        InputStream in = new BufferedInputStream(from.getInputStream(), 1 << 16);
        OutputStream out = from.getOutputStream();
        for (Message request = read(in); request != null; request = read(in)) {
          if (request.start.startsWith("DELETE ")) {
            states.remove(request.start.split(" ")[1].substring("/state/".length()));
            respond(out, 204, "", "");
          } else if (request.field("x-request-id").isEmpty()) {
            respond(out, 404, "", "");
          } else {
            behaviour.serve(this, request, from, out);
          }
        }
      } catch (Exception e) {
        // the gateway has closed
      } finally {
        open.remove(from);
      }
    }

    /** Reads the prompt, or writes the given number of tokens. */
    void serveSoundly(Message request, OutputStream out, int tokens) throws IOException {
      String id = request.field("x-request-id");
      if (reads) {
        sleep(readMs);
        states.add(id);
        respond(out, 202, "Content-Type: application/json\r\n", "{\"cached_tokens\":0}");
        return;
      }
      if (!states.remove(id)) {
        respond(out, 410, "X-Not-Run: 1\r\n", "");
        return;
      }
      sleep(tokenMs);
      beginStream(out);
      for (int i = 1; i <= tokens; i++) {
        event(out, i, i == tokens);
        if (i < tokens) {
          sleep(tokenMs);
        }
      }
      endStream(out, tokens);
    }
  }

  static void beginStream(OutputStream out) throws IOException {
    out.write(ascii("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n"));
  }

  static void chunk(OutputStream out, String text) throws IOException {
    out.write(ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
    out.flush();
  }

  static void event(OutputStream out, int number, boolean last) throws IOException {
    chunk(out, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"w" + number
        + " \"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n");
  }

  static void endStream(OutputStream out, int tokens) throws IOException {
    chunk(out, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":"
        + tokens + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n");
    chunk(out, "data: [DONE]\n\n");
    out.write(ascii("0\r\n\r\n"));
    out.flush();
  }

  /** Settings of a small deployment, after the example of the users' pages. */
  static String settings(String classes) {
    return "{\"me\":0,\"siblings\":1,\"az\":0,\"dcs\":[\"a\"],\"resolution-ms\":4,"
        + "\"registry-mode\":\"push\",\"service-type\":\"twostage\","
        + "\"skus\":[\"prefill\",\"decode\"],\"classes\":" + classes + ",\"tenants\":[],"
        + "\"limits\":{\"max-attempts\":4,\"cancel\":true,\"second-copies\":false,"
        + "\"connect-timeout-ms\":250,\"conn-idle-ms\":15000,\"retry-after\":true,"
        + "\"max-retry-after-ms\":2000},"
        + "\"obligations\":{\"answer-slack-ms\":8,\"stop-sending-within-ms\":250,"
        + "\"cold-share\":0.32,\"warm-up-ms\":14000,\"overload-factor\":2.5,\"fall-ms\":2000},"
        + "\"specifics\":{\"ahead\":false,\"resume\":false,\"local-read\":false,"
        + "\"duty-by-kind\":[\"read\",\"write\"],\"memory-tokens\":[220000,150000],"
        + "\"release-within-ms\":500,\"token-aim-ms\":[50,50],"
        + "\"aim-us-per-1000-prompt-tokens\":[40000,60000]}}";
  }

  static final String CLASSES =
      "[{\"name\":\"sales-question\",\"goal-time-ms\":1500,\"deadline-ms\":6000,\"credit\":1,"
          + "\"late-worth\":0.2,\"repeat\":\"repeatable\",\"stream\":true},"
          + "{\"name\":\"card-refund\",\"goal-time-ms\":750,\"deadline-ms\":3000,\"credit\":2,"
          + "\"late-worth\":0.3,\"repeat\":\"once\",\"stream\":true}]";

  /** A gateway, started by the deploy file's run line. */
  static final class Gateway {
    final int port = freePort();
    private final Fleet fleet;
    private final Path config = temp.resolve("config.json");
    private final int memoryMb;
    private final int sockets;
    private final String settings;
    Process process;

    Gateway(Fleet fleet, int discovery, int memoryMb, int sockets, String settings)
        throws IOException {
      this.fleet = fleet;
      this.memoryMb = memoryMb;
      this.sockets = sockets;
      this.settings = settings;
      configure(discovery);
    }

    /** Replaces the configuration file by one that names this port of discovery. */
    void configure(int discovery) throws IOException {
      Path next = temp.resolve("config.next");
      Files.writeString(next, "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port
          + "\",\"discovery\":\"127.0.0.1:" + discovery + "\",\"seed\":\"8c1f30d27a5be964\","
          + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
          + "},\"known\":" + fleet.list(-1) + ",\"settings\":" + settings + "}");
      Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING,
          java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    void start(Path root) throws Exception {
      String run = "";
      for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (line.startsWith("run ") || line.startsWith("run=")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      log("run: " + run);
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run);
      builder.directory(root.toFile());
      builder.environment().put("ROUTER_NAME", "n1");
      builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("ROUTER_CONFIG", config.toString());
      builder.environment().put("TMPDIR", temp.toString());
      builder.redirectErrorStream(true);
      process = builder.start();
      PROCESSES.add(process);
      daemon(() -> {
        try (var reader = process.inputReader()) {
          for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            log("  gateway: " + line);
          }
        } catch (IOException e) {
          // ended
        }
      }).start();
      for (int i = 0; i < 300; i++) {
        if (healthz(1000) == 200) {
          log("the gateway is ready");
          return;
        }
        sleep(100);
      }
      throw new IllegalStateException("the gateway was not ready within 30 s");
    }

    /** Status of the health page, 0 if there is no answer in time. */
    int healthz(int millis) {
      try (Socket socket = connect(millis)) {
        socket.setSoTimeout(millis);
        socket.getOutputStream().write(ascii("GET /healthz HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
        Message head = readHead(socket.getInputStream());
        return head == null ? 0 : head.status();
      } catch (IOException e) {
        return 0;
      }
    }

    Socket connect(int millis) throws IOException {
      Socket socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), millis);
      socket.setTcpNoDelay(true);
      return socket;
    }

    void signal(String name) throws Exception {
      log("signal " + name);
      new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }
  }

  private static final java.util.concurrent.atomic.AtomicLong IDS =
      new java.util.concurrent.atomic.AtomicLong(System.nanoTime());

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  static byte[] request(String id, String requestClass, int deadlineMs, int promptTokens,
      int maxOut) {
    StringBuilder content = new StringBuilder();
    while (content.length() < promptTokens * 4) {
      content.append("word ");
    }
    String body = "{\"model\":\"" + requestClass + "\",\"stream\":true,\"max_tokens\":" + maxOut
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + content + "\"}]}";
    return ascii("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
        + "\r\nX-Class: " + requestClass + "\r\nX-Key: k" + id + "\r\nX-Deadline-Ms: "
        + deadlineMs + "\r\nX-Extras: prompt_len=" + promptTokens + ",max_out=" + maxOut
        + "\r\nContent-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n"
        + body);
  }

  /** What a client saw of its answer. */
  static final class Answer {
    int status;
    int events;
    boolean lastChunk;
    String end = "";
    double beganAt;
    double endedAt;

    @Override
    public String toString() {
      return "status " + status + ", " + events + " events, "
          + (lastChunk ? "last chunk" : "no last chunk") + (end.isEmpty() ? "" : ", " + end);
    }
  }

  /** Reads one answer to its end, or until the given time without a byte. */
  static Answer readAnswer(Socket socket, int silenceMs) {
    try {
      return readAnswer(socket, new BufferedInputStream(socket.getInputStream()), silenceMs);
    } catch (IOException e) {
      Answer answer = new Answer();
      answer.end = e.toString();
      answer.endedAt = now();
      return answer;
    }
  }

  /** Reads the next of several answers on a connection. */
  static Answer readAnswer(Socket socket, InputStream in, int silenceMs) {
    Answer answer = new Answer();
    try {
      socket.setSoTimeout(silenceMs);
      Message head = readHead(in);
      if (head == null) {
        answer.end = "closed without an answer";
      } else {
        answer.status = head.status();
        answer.beganAt = now();
        if (head.field("transfer-encoding").equals("chunked")) {
          readChunks(in, answer);
        } else {
          in.readNBytes(Integer.parseInt("0" + head.field("content-length")));
          answer.lastChunk = true;
        }
      }
    } catch (IOException e) {
      answer.end = e.toString();
    }
    answer.endedAt = now();
    return answer;
  }

  private static void readChunks(InputStream in, Answer answer) throws IOException {
    while (true) {
      String size = line(in);
      if (size == null) {
        answer.end = "closed within the stream";
        return;
      }
      int length = Integer.parseInt(size, 16);
      byte[] chunk = in.readNBytes(length);
      line(in);
      if (length == 0) {
        answer.lastChunk = true;
        return;
      }
      if (chunk.length < length) {
        throw new EOFException("end within a chunk");
      }
      answer.events++;
    }
  }

  /** Root of the repository, from the folder of the case. */
  static Path root(String[] args) {
    return Path.of(args[0]).toAbsolutePath().normalize().getParent().getParent();
  }

  static <T> Set<T> newSet() {
    return ConcurrentHashMap.newKeySet();
  }
}
