import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway starts while discovery is slow; the list in its configuration is old and has a reader
 * as ready that drains by now.
 */
final class SlowStartList {
  private static final double ANSWER_MS = 1_000;

  private static volatile double readyAt = Double.MAX_VALUE;
  private static final AtomicInteger LATE = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();
  private static volatile boolean stop;

  private SlowStartList() {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  private static void serve(Kit.Server server, Kit.Message request, OutputStream out)
      throws Exception {
    double after = Kit.now() - readyAt;
    if (server.name.equals("r0")) {
      boolean late = after > 0.3;
      LATE.addAndGet(late ? 1 : 0);
      Kit.log(String.format("r0, which drains, gets %s %.3f s after the gateway was ready%s",
          request.field("x-request-id"), after, late ? " - too late" : ""));
    }
    server.serveSoundly(request, out, 4);
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    Kit.Entry drained = null;
    for (int i = 0; i < 3; i++) {
      Kit.Behaviour sound = (server, request, from, out) -> serve(server, request, out);
      Kit.Entry reader =
          fleet.add("r" + i, "prefill", 0, new Kit.Server("r" + i, true, states, sound).port());
      drained = i == 0 ? reader : drained;
      fleet.add("w" + i, "decode", 0, new Kit.Server("w" + i, false, states, sound).port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    // the configuration is written with the list of before
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    fleet.change(drained, "draining");
    Kit.log("r0 drains; the agent has it");
    Kit.sleep(2_000);
    discovery.answerDelayMs = Kit.TROUBLE ? ANSWER_MS : 0;
    gateway.start(root);
    readyAt = Kit.now();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
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
          Kit.sleep(20);
        }
      });
      client.start();
      clients.add(client);
    }
    Kit.sleep(5_000);
    stop = true;
    for (Thread client : clients) {
      client.join(8_000);
    }
    if (SERVED.get() == 0) {
      throw new IllegalStateException("nothing was served");
    }
    Kit.log(SERVED + " requests served; " + LATE
        + " attempts began at the draining server over 0.3 s after the gateway was ready");
    return LATE.get() == 0;
  }
}
