import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A burst of usual clients with the long prompts of the newer deployment: does every request get
 * its final answer, and does the gateway live on?
 */
final class Burst {
  private static final int USUAL_CLIENTS = 60;
  private static final int BURST_CLIENTS = 336;
  private static final double BURST_SECONDS = 20;
  private static final int DEADLINE_MS = 4_000;
  private static final int TOKENS = 20;

  /** Prompts after ENGINES.md and its site: an opening and a new part, log-normal. */
  private static final int OPENING_TOKENS = 6_100;

  private static final int NEW_TOKENS_MIDDLE = 1_300;
  private static final double NEW_TOKENS_SIGMA = 1.3;
  private static final int MOST_TOKENS = 61_000;

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger REFUSED = new AtomicInteger();
  private static final AtomicInteger NOT_CONNECTED = new AtomicInteger();
  private static final AtomicInteger LOST = new AtomicInteger();
  private static volatile boolean stop;
  private static volatile boolean burstOver;

  private Burst() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    for (int i = 0; i < 6; i++) {
      Kit.Behaviour sound =
          (server, request, from, out) -> server.serveSoundly(request, out, TOKENS);
      Kit.Server reader = new Kit.Server("r" + i, true, states, sound);
      reader.readMs = 600;
      fleet.add("r" + i, "prefill", i % 2, reader.port());
      Kit.Server writer = new Kit.Server("w" + i, false, states, sound);
      writer.tokenMs = 20;
      fleet.add("w" + i, "decode", i % 2, writer.port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    // the memory of the servers is that of the users' page on engines
    String settings =
        Kit.settings(Kit.CLASSES).replace("[220000,150000]", "[1450000,3850000]");
    Kit.Gateway gateway = new Kit.Gateway(fleet, discovery.port(), 192, 1024, settings);
    gateway.start(root);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < BURST_CLIENTS; i++) {
      int number = i;
      Thread client = Kit.daemon(() -> client(gateway, number));
      clients.add(client);
    }
    clients.subList(0, USUAL_CLIENTS).forEach(Thread::start);
    Kit.sleep(5_000);
    report(gateway);
    if (SERVED.get() == 0 || LOST.get() > 0) {
      throw new IllegalStateException("the service did not work before the burst");
    }
    if (Kit.TROUBLE) {
      Kit.log("burst: " + BURST_CLIENTS + " clients instead of " + USUAL_CLIENTS);
      clients.subList(USUAL_CLIENTS, BURST_CLIENTS).forEach(Thread::start);
    }
    double end = Kit.now() + BURST_SECONDS;
    while (Kit.now() < end) {
      Kit.sleep(2_000);
      report(gateway);
    }
    burstOver = true;
    Kit.log("the burst is over");
    Kit.sleep(12_000);
    report(gateway);
    stop = true;
    for (Thread client : clients) {
      client.join(12_000);
    }
    report(gateway);
    return LOST.get() == 0 && gateway.process.isAlive();
  }

  private static void report(Kit.Gateway gateway) {
    Kit.log(SENT + " requests sent, " + SERVED + " served, " + REFUSED + " refused or failed, "
        + NOT_CONNECTED + " not connected, " + LOST + " lost; process "
        + (gateway.process.isAlive() ? "alive" : "ended") + ", health page "
        + gateway.healthz(1_500));
  }

  /** One request at a time on a connection that is kept. */
  private static void client(Kit.Gateway gateway, int number) {
    Random random = new Random(number);
    while (!stop && !(burstOver && number >= USUAL_CLIENTS)) {
      try (Socket socket = gateway.connect(2_000)) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        while (!stop && request(socket, in, random, number)) {
          if (burstOver && number >= USUAL_CLIENTS) {
            return;
          }
        }
      } catch (IOException e) {
        NOT_CONNECTED.incrementAndGet();
        Kit.sleep(200);
      }
    }
  }

  /** Sends one request; returns whether the connection can be used again. */
  private static boolean request(Socket socket, InputStream in, Random random, int client)
      throws IOException {
    int promptTokens =
        (int)
            Math.min(
                MOST_TOKENS,
                OPENING_TOKENS
                    + NEW_TOKENS_MIDDLE * Math.exp(NEW_TOKENS_SIGMA * random.nextGaussian()));
    String id = Kit.newId();
    socket.getOutputStream()
        .write(Kit.request(id, "sales-question", DEADLINE_MS, promptTokens, TOKENS));
    double sentAt = Kit.now();
    SENT.incrementAndGet();
    Kit.Answer answer = Kit.readAnswer(socket, in, 5_500);
    double began = answer.beganAt - sentAt;
    boolean inTime = answer.status != 0 && began <= (DEADLINE_MS + 550) / 1000.0;
    if (answer.lastChunk && inTime) {
      (answer.status == 200 ? SERVED : REFUSED).incrementAndGet();
      Kit.sleep(answer.status == 200 ? 100 : 50 + random.nextInt(450));
      return true;
    }
    int lost = LOST.incrementAndGet();
    if (lost <= 40) {
      Kit.log(String.format("client %d: request %s of %d tokens LOST: %s, %.2f s after it was sent",
          client, id, promptTokens, answer, answer.endedAt - sentAt));
    }
    return false;
  }
}
