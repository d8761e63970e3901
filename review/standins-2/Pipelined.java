import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned restart while clients have sent several requests at once on one connection. */
final class Pipelined {
  private static final int CLIENTS = 6;
  private static final int REQUESTS = 5;
  private static final int TOKENS = 10;
  private static final AtomicInteger LOST = new AtomicInteger();
  private static final AtomicInteger ANSWERED = new AtomicInteger();

  private Pipelined() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    for (int i = 0; i < 3; i++) {
      Kit.Behaviour sound =
          (server, request, from, out) -> server.serveSoundly(request, out, TOKENS);
      fleet.add("r" + i, "prefill", 0, new Kit.Server("r" + i, true, states, sound).port());
      fleet.add("w" + i, "decode", 0, new Kit.Server("w" + i, false, states, sound).port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    gateway.start(root);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client = Kit.daemon(() -> client(gateway, number));
      client.start();
      clients.add(client);
    }
    Kit.sleep(250); // the first answers have begun
    if (Kit.TROUBLE) {
      gateway.signal("TERM");
    }
    for (Thread client : clients) {
      client.join(20_000);
    }
    Kit.log(ANSWERED + " requests got an answer, " + LOST + " were read and got none");
    if (ANSWERED.get() + LOST.get() < CLIENTS * REQUESTS) {
      throw new IllegalStateException("not all clients have ended");
    }
    return LOST.get() == 0;
  }

  private static void client(Kit.Gateway gateway, int number) {
    int got = 0;
    try (Socket socket = gateway.connect(1000)) {
      ByteArrayOutputStream requests = new ByteArrayOutputStream();
      for (int i = 0; i < REQUESTS; i++) {
        requests.write(Kit.request(Kit.newId(), "sales-question", 3000, 400, TOKENS));
      }
      socket.getOutputStream().write(requests.toByteArray());
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int i = 0; i < REQUESTS; i++) {
        Kit.Answer answer = Kit.readAnswer(socket, in, 6000);
        Kit.log("client " + number + ", request " + (i + 1) + " of " + REQUESTS + ": " + answer);
        if (answer.status == 0) {
          break;
        }
        got++;
        ANSWERED.incrementAndGet();
      }
    } catch (Exception e) {
      Kit.log("client " + number + ": " + e);
    }
    LOST.addAndGet(REQUESTS - got);
  }
}
