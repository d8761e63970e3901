import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * New configurations in quick succession while discovery is slow: a writer begins to drain, which
 * all agents tell to whoever waits for their answer, and ends long after it counts as told.
 */
final class Configurations {
  private static final double ANSWER_MS = 700;
  private static final double INTERVAL_MS = 1_000;
  private static final int CONFIGURATIONS = 9;

  private static volatile double toldAt = Double.MAX_VALUE;
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger BROKEN = new AtomicInteger();
  private static final Set<String> LATE_IDS = Kit.newSet();
  private static final int TOKENS = 30;

  /** Time from the change to the end of the draining server. */
  private static final double DRAIN_SECONDS = 8;

  private static volatile boolean stop;

  private Configurations() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static void serve(
      Kit.Server server, Kit.Message request, OutputStream out, Kit.Entry[] drained)
      throws Exception {
    double at = Kit.now();
    if (server.name.equals("w0") && !drained[0].state.equals("ready")) {
      boolean late = at > toldAt + 0.3;
      if (late) {
        LATE.incrementAndGet();
        LATE_IDS.add(request.field("x-request-id"));
      }
      Kit.log("w0, which drains, gets " + request.field("x-request-id") + (late
          ? String.format(" - %.2f s after the change counts as told", at - toldAt) : ""));
    }
    server.serveSoundly(request, out, TOKENS);
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    Kit.Entry[] drained = new Kit.Entry[1];
    Kit.Server ending = null;
    for (int i = 0; i < 3; i++) {
      Kit.Behaviour sound = (server, request, from, out) -> serve(server, request, out, drained);
      fleet.add("r" + i, "prefill", 0, new Kit.Server("r" + i, true, states, sound).port());
      Kit.Server writer = new Kit.Server("w" + i, false, states, sound);
      Kit.Entry entry = fleet.add("w" + i, "decode", 0, writer.port());
      if (i == 0) {
        drained[0] = entry;
        ending = writer;
      }
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    gateway.start(root);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      Thread client = Kit.daemon(() -> {
        while (!stop) {
          try (Socket socket = gateway.connect(1000)) {
            String id = Kit.newId();
            socket.getOutputStream()
                .write(Kit.request(id, "sales-question", 3000, 400, TOKENS));
            Kit.Answer answer = Kit.readAnswer(socket, 6000);
            SERVED.addAndGet(answer.status == 200 && answer.lastChunk ? 1 : 0);
            if (LATE_IDS.contains(id) && !(answer.status == 200 && answer.lastChunk)) {
              BROKEN.incrementAndGet();
              Kit.log("client: request " + id + ", sent to w0 too late: " + answer);
            }
          } catch (Exception e) {
            Kit.log("client: " + e);
          }
          Kit.sleep(60);
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
    Kit.Server ended = ending;
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
        toldAt = Kit.now() + 6;
        fleet.change(drained[0], "draining");
        Kit.log("w0 begins to drain; all agents have it");
        Kit.daemon(() -> endLater(ended)).start();
      }
      Kit.sleep(INTERVAL_MS - (i == 0 ? 200 : 0));
    }
    Kit.sleep(3_000);
    stop = true;
    for (Thread client : clients) {
      client.join(8_000);
    }
    Kit.log(SERVED + " requests served; " + LATE
        + " attempts began at the draining server over 0.3 s after the change counted as told, "
        + BROKEN + " of their answers were lost when it ended");
    return LATE.get() == 0;
  }

  private static void endLater(Kit.Server server) {
    Kit.sleep(DRAIN_SECONDS * 1000);
    try {
      Kit.log("w0 has drained and ends");
      server.end();
    } catch (Exception e) {
      Kit.log("w0: " + e);
    }
  }
}
