import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients, some of which stop in the middle of a request and stay, and some of which send whole
 * requests with long prompts at once and again: does every usual request get its final answer?
 */
final class BadClients {
  private static final int HALF_REQUESTS = 40;
  private static final int WHOLE_REQUESTS = 40;
  private static final int MANY_REQUESTS = 90;
  private static final int REQUESTS_AT_ONCE = 20;
  private static final int USUAL_CLIENTS = 6;
  private static final int DEADLINE_MS = 3_000;
  private static final double TROUBLE_SECONDS = 50;

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger REFUSED = new AtomicInteger();
  private static final AtomicInteger NOT_CONNECTED = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static volatile boolean stop;
  private static volatile boolean troubleOver;

  private BadClients() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    for (int i = 0; i < 4; i++) {
      Kit.Behaviour sound = (server, request, from, out) -> server.serveSoundly(request, out, 16);
      Kit.Server reader = new Kit.Server("r" + i, true, states, sound);
      reader.readMs = 300;
      fleet.add("r" + i, "prefill", i % 2, reader.port());
      fleet.add("w" + i, "decode", i % 2, new Kit.Server("w" + i, false, states, sound).port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    // the memory of the servers is that of the users' page on engines
    String settings =
        Kit.settings(Kit.CLASSES).replace("[220000,150000]", "[1450000,3850000]");
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 192, 1024, settings);
    gateway.start(root);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      int number = i;
      Thread client = Kit.daemon(() -> {
        while (!stop) {
          usualRequest(gateway, number);
          Kit.sleep(150);
        }
      });
      client.start();
      clients.add(client);
    }
    Kit.sleep(3_000);
    if (SERVED.get() == 0 || LOST.get() > 0) {
      throw new IllegalStateException("the service did not work before the trouble");
    }
    if (Kit.TROUBLE) {
      Kit.log(HALF_REQUESTS + " clients stop in the middle of a request and stay; "
          + WHOLE_REQUESTS + " send whole requests of about 240 KB, "
          + MANY_REQUESTS + " send " + REQUESTS_AT_ONCE + " requests with heads of 15 KB at once");
      begin(HALF_REQUESTS, () -> halfRequest(gateway));
      begin(WHOLE_REQUESTS, () -> wholeRequest(gateway));
      begin(MANY_REQUESTS, () -> manyRequests(gateway));
    }
    double end = Kit.now() + TROUBLE_SECONDS;
    while (Kit.now() < end && LOST.get() < 3 * USUAL_CLIENTS) {
      Kit.sleep(2_000);
      Kit.log("usual requests: " + SENT + " sent, " + SERVED + " served, " + REFUSED
          + " refused or failed, " + LOST + " lost; health page " + gateway.healthz(1_500));
    }
    troubleOver = true;
    Kit.sleep(6_000);
    Kit.log("6 s after the bad clients have gone: process "
        + (gateway.process.isAlive() ? "alive" : "ended") + ", health page "
        + gateway.healthz(3_000));
    stop = true;
    for (Thread client : clients) {
      client.join(12_000);
    }
    Kit.log("usual requests: " + SENT + " sent, " + SERVED + " served, " + REFUSED
        + " refused or failed, " + NOT_CONNECTED + " not connected, " + LOST + " lost");
    return LOST.get() == 0 && gateway.process.isAlive();
  }

  private static void usualRequest(Kit.Gateway gateway, int client) {
    try (Socket socket = gateway.connect(2_000)) {
      String id = Kit.newId();
      socket.getOutputStream().write(Kit.request(id, "sales-question", DEADLINE_MS, 2_000, 16));
      double sentAt = Kit.now();
      SENT.incrementAndGet();
      // no byte for this long is too late for a first answer and for the next event alike
      Kit.Answer answer = Kit.readAnswer(socket, 5_500);
      double took = answer.endedAt - sentAt;
      boolean late = answer.status != 200 && took > (DEADLINE_MS + 550) / 1000.0;
      if (answer.lastChunk && answer.status == 200) {
        SERVED.incrementAndGet();
      } else if (answer.lastChunk && !late) {
        REFUSED.incrementAndGet();
      } else {
        LOST.incrementAndGet();
        Kit.log(String.format("client %d: request %s LOST: %s, %.2f s after it was sent",
            client, id, answer, took));
      }
    } catch (IOException e) {
      NOT_CONNECTED.incrementAndGet();
      Kit.sleep(100);
    }
  }

  private interface Connected {
    void use(Socket socket) throws IOException;
  }

  private static void begin(int clients, Runnable request) {
    for (int i = 0; i < clients; i++) {
      Kit.daemon(() -> {
        while (!troubleOver) {
          request.run();
        }
      }).start();
    }
  }

  /** Connects, runs the task, then reads all that comes until the gateway closes, 8 s at most. */
  private static void withConnection(Kit.Gateway gateway, Connected task) {
    try (Socket socket = gateway.connect(2_000)) {
      socket.setSoTimeout(4_000);
      task.use(socket);
    } catch (IOException e) {
      Kit.sleep(10);
    }
  }

  /** Stops in the middle of a request and stays until it gets its error or the close. */
  private static void halfRequest(Kit.Gateway gateway) {
    withConnection(gateway, socket -> {
      socket.getOutputStream().write(Kit.ascii("POST /v1/chat/completions HTTP/1.1\r\n"
          + "Host: origin.svc\r\nX-Request-Id: " + Kit.newId()
          + "\r\nX-Class: sales-question\r\nX-Deadline-Ms: 3000\r\nContent-Length: 262000\r\n"
          + "\r\n"));
      socket.getOutputStream().write(new byte[135_000]);
      socket.getInputStream().readAllBytes();
    });
  }

  /** Sends a request of nearly 256 KiB and the next one as soon as it has its answer. */
  private static void wholeRequest(Kit.Gateway gateway) {
    withConnection(gateway, socket -> {
      socket.getOutputStream()
          .write(Kit.request(Kit.newId(), "sales-question", DEADLINE_MS, 60_000, 16));
      Kit.readAnswer(socket, 4_000);
    });
  }

  /** Sends many requests at once and reads what comes. */
  private static void manyRequests(Kit.Gateway gateway) {
    withConnection(gateway, socket -> {
      OutputStream out = socket.getOutputStream();
      for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
        out.write(Kit.ascii("POST /v1/chat/completions HTTP/1.1\r\nHost: origin.svc\r\n"
            + "X-Request-Id: " + Kit.newId() + "\r\nX-Class: sales-question\r\nX-Deadline-Ms: "
            + DEADLINE_MS + "\r\nX-Note-1: " + "a".repeat(7_500) + "\r\nX-Note-2: "
            + "a".repeat(7_500) + "\r\nContent-Length: 2\r\n\r\n{}"));
      }
      socket.getInputStream().readAllBytes();
    });
  }
}
