import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New configurations in quick succession while discovery is slow: a reader begins to drain, and all
 * agents tell it to whoever waits for their answer.
 */
final class Configurations {
  private static final double ANSWER_MS = 700;
  private static final double INTERVAL_MS = 1_000;
  private static final int CONFIGURATIONS = 9;

  private static volatile double toldAt = Double.MAX_VALUE;
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static volatile boolean stop;

  private Configurations() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static void serve(
      Kit.Server server, Kit.Message request, OutputStream out, Kit.Entry[] drained)
      throws Exception {
    double at = Kit.now();
    if (server.name.equals("r0") && !drained[0].state.equals("ready")) {
      boolean late = at > toldAt + 0.3;
      LATE.addAndGet(late ? 1 : 0);
      Kit.log("r0, which drains, gets " + request.field("x-request-id") + (late
          ? String.format(" - %.2f s after the change counts as told", at - toldAt) : ""));
    }
    server.serveSoundly(request, out, 4);
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    Kit.Entry[] drained = new Kit.Entry[1];
    for (int i = 0; i < 3; i++) {
      Kit.Behaviour sound = (server, request, from, out) -> serve(server, request, out, drained);
      Kit.Entry reader =
          fleet.add("r" + i, "prefill", 0, new Kit.Server("r" + i, true, states, sound).port());
      drained[0] = i == 0 ? reader : drained[0];
      fleet.add("w" + i, "decode", 0, new Kit.Server("w" + i, false, states, sound).port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    gateway.start(root);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      Thread client = Kit.daemon(() -> {
        while (!stop) {
          try (Socket socket = gateway.connect(1000)) {
            socket.getOutputStream()
                .write(Kit.request(Kit.newId(), "sales-question", 3000, 400, 4));
            Kit.Answer answer = Kit.readAnswer(socket, 6000);
            SERVED.addAndGet(answer.status == 200 && answer.lastChunk ? 1 : 0);
          } catch (Exception e) {
            Kit.log("client: " + e);
          }
          Kit.sleep(100);
        }
      });
      client.start();
      clients.add(client);
    }
    Kit.sleep(3_000);
    if (SERVED.get() == 0) {
      throw new IllegalStateException("the service did not work before the trouble");
    }
    discovery.answerDelayMs = Kit.TROUBLE ? ANSWER_MS : 0;
    Kit.sleep(2_500); // the watch of before has ended
    double changedAt = Double.MAX_VALUE;
    Kit.Discovery current = discovery;
    for (int i = 0; i < CONFIGURATIONS; i++) {
      Kit.Discovery next = new Kit.Discovery(fleet);
      next.answerDelayMs = Kit.TROUBLE ? ANSWER_MS : 0;
      gateway.configure(next.port());
      gateway.signal("HUP");
      current.retire();
      current = next;
      if (i == 0) {
        Kit.sleep(200);
        changedAt = Kit.now();
        toldAt = changedAt + 6;
        fleet.change(drained[0], "draining");
        Kit.log("r0 begins to drain; all agents have it");
      }
      Kit.sleep(INTERVAL_MS - (i == 0 ? 200 : 0));
    }
    Kit.sleep(3_000);
    stop = true;
    for (Thread client : clients) {
      client.join(8_000);
    }
    Kit.log(SERVED + " requests served; " + LATE
        + " attempts began at the draining server over 0.3 s after the change counted as told");
    return LATE.get() == 0;
  }
}
