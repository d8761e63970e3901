import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway starts while discovery is slow; the list in its configuration is old and has a writer
 * as ready that drains by now and ends 1.1 s after the gateway says that it is ready.
 */
final class SlowStartList {
  private static final double ANSWER_MS = 1_000;

  private static volatile double readyAt = Double.MAX_VALUE;
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static final AtomicInteger BROKEN = new AtomicInteger();
  private static final Set<String> LATE_IDS = Kit.newSet();
  private static final int TOKENS = 20;
  private static volatile boolean stop;

  private SlowStartList() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static void serve(Kit.Server server, Kit.Message request, OutputStream out)
      throws Exception {
    double after = Kit.now() - readyAt;
    if (server.name.equals("w0")) {
      boolean late = after > 0.3;
      if (late) {
        LATE.incrementAndGet();
        LATE_IDS.add(request.field("x-request-id"));
      }
      Kit.log(String.format("w0, which drains, gets %s %.3f s after the gateway was ready%s",
          request.field("x-request-id"), after, late ? " - too late" : ""));
    }
    server.serveSoundly(request, out, TOKENS);
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    Kit.Entry drained = null;
    Kit.Server ending = null;
    for (int i = 0; i < 3; i++) {
      Kit.Behaviour sound = (server, request, from, out) -> serve(server, request, out);
      fleet.add("r" + i, "prefill", 0, new Kit.Server("r" + i, true, states, sound).port());
      Kit.Server writer = new Kit.Server("w" + i, false, states, sound);
      Kit.Entry entry = fleet.add("w" + i, "decode", 0, writer.port());
      if (i == 0) {
        drained = entry;
        ending = writer;
      }
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    // the configuration is written with the list of before
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    fleet.change(drained, "draining");
    Kit.log("w0 drains; the agent has it");
    Kit.sleep(2_000);
    discovery.answerDelayMs = Kit.TROUBLE ? ANSWER_MS : 0;
    gateway.start(root);
    readyAt = Kit.now();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 32; i++) {
      int number = i;
      Thread client = Kit.daemon(() -> {
        Kit.sleep(30 * number); // requests begin throughout the first second
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
          Kit.sleep(20);
        }
      });
      client.start();
      clients.add(client);
    }
    Kit.sleep((readyAt + 1.1 - Kit.now()) * 1000);
    Kit.log("w0 has drained and ends");
    ending.end();
    Kit.sleep(4_000);
    stop = true;
    for (Thread client : clients) {
      client.join(8_000);
    }
    if (SERVED.get() == 0) {
      throw new IllegalStateException("nothing was served");
    }
    Kit.log(SERVED + " requests served; " + LATE
        + " attempts began at the draining server over 0.3 s after the gateway was ready, "
        + BROKEN + " of their answers were lost when it ended");
    return LATE.get() == 0;
  }
}
