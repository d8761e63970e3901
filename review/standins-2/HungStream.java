import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A planned restart while half of the writers hang in the middle of their answers: what becomes of
 * requests that were taken more than 0.7 s after SIGTERM.
 */
final class HungStream {
  private static final int TOKENS = 16;
  private static final int CLIENTS = 8;

  private HungStream() {}

  private record Call(int number, double sentAt, Kit.Answer answer) {}

  public static void main(String[] args) throws Exception {
    Kit.main(args, () -> run(Kit.root(args)));
  }

  /** Time at which the writers 0 and 1 hang. */
  private static volatile double hangAt = Double.MAX_VALUE;

  private static void serve(Kit.Server server, Kit.Message request, OutputStream out)
      throws Exception {
    String id = request.field("x-request-id");
    boolean mayHang = server.name.equals("w0") || server.name.equals("w1");
    if (server.reads || !mayHang) {
      Kit.log(server.name + " begins " + id);
      server.serveSoundly(request, out, TOKENS);
      Kit.log(server.name + " has ended " + id);
      return;
    }
    if (!server.states.remove(id)) {
      Kit.respond(out, 410, "X-Not-Run: 1\r\n", "");
      return;
    }
    Kit.log(server.name + " begins " + id);
    Kit.sleep(server.tokenMs);
    Kit.beginStream(out);
    for (int i = 1; i <= TOKENS; i++) {
      if (Kit.now() >= hangAt) {
        Kit.log(server.name + " hangs within " + id + ", behind event " + (i - 1));
        Kit.sleep(60_000);
      }
      Kit.event(out, i, i == TOKENS);
      Kit.sleep(i == TOKENS ? 0 : server.tokenMs);
    }
    Kit.endStream(out, TOKENS);
    Kit.log(server.name + " has ended " + id);
  }

  private static boolean run(Path root) throws Exception {
    Kit.Fleet fleet = new Kit.Fleet();
    Set<String> states = Kit.newSet();
    for (int i = 0; i < 4; i++) {
      Kit.Server reader = new Kit.Server("r" + i, true, states, (s, q, f, o) -> serve(s, q, o));
      fleet.add("r" + i, "prefill", i % 2, reader.port());
      Kit.Server writer = new Kit.Server("w" + i, false, states, (s, q, f, o) -> serve(s, q, o));
      fleet.add("w" + i, "decode", i % 2, writer.port());
    }
    Kit.Discovery discovery = new Kit.Discovery(fleet);
    Kit.Gateway gateway =
        new Kit.Gateway(fleet, discovery.port(), 160, 512, Kit.settings(Kit.CLASSES));
    gateway.start(root);
    for (int i = 0; i < 12; i++) { // some ordinary traffic first
      try (Socket socket = gateway.connect(1000)) {
        String id = Kit.newId();
        socket.getOutputStream().write(Kit.request(id, "sales-question", 3000, 400, TOKENS));
        Kit.Answer answer = Kit.readAnswer(socket, 5000);
        Kit.log("client before: " + id + ": " + answer);
        if (!answer.lastChunk || answer.status != 200) {
          throw new IllegalStateException("the service did not work before the restart");
        }
      }
    }

    gateway.signal("TERM");
    final double termAt = Kit.now();
    if (Kit.TROUBLE) {
      hangAt = termAt + 1.2;
    }
    List<Call> calls = new CopyOnWriteArrayList<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      Thread client = Kit.daemon(() -> client(gateway, number, termAt, calls));
      client.start();
      clients.add(client);
    }
    // the longest deadline of the settings, taken as 3 s because it is longer, plus 0.7 s
    Kit.sleep((termAt + 3.7 - Kit.now()) * 1000 + 20);
    boolean running = gateway.process.isAlive();
    double killedAt = Kit.now();
    gateway.signal("KILL");
    Kit.log("SIGKILL " + Math.round((killedAt - termAt) * 1000) + " ms after SIGTERM; the gateway "
        + (running ? "was still running" : "had ended"));
    for (Thread client : clients) {
      client.join(10_000);
    }
    int lost = 0;
    int served = 0;
    for (Call call : calls) {
      boolean late = call.answer.endedAt >= killedAt - 0.005;
      boolean ended = call.answer.lastChunk
          || call.answer.status != 0 && !late; // a stream that is cut in time has failed
      served += call.answer.status == 200 ? 1 : 0;
      lost += ended ? 0 : 1;
      Kit.log("client " + call.number + ": sent " + Math.round((call.sentAt - termAt) * 1000)
          + " ms after SIGTERM, ended " + Math.round((call.answer.endedAt - termAt) * 1000)
          + " ms after it: " + call.answer + (ended ? "" : " - LOST, under way at SIGKILL"));
    }
    if (calls.size() < CLIENTS) {
      throw new IllegalStateException("not all clients have ended");
    }
    Kit.log(served + " streams had begun, " + lost + " requests were lost");
    if (served == 0) {
      throw new IllegalStateException("the gateway took no request after 0.7 s");
    }
    return lost == 0;
  }

  /** Connects while new connections still arrive, and sends on the connection that stays open. */
  private static void client(Kit.Gateway gateway, int number, double termAt, List<Call> calls) {
    try {
      Kit.sleep((termAt + 0.2 + 0.02 * number - Kit.now()) * 1000);
      try (Socket socket = gateway.connect(1000)) {
        Kit.sleep((termAt + 0.8 + 0.02 * number - Kit.now()) * 1000);
        String id = Kit.newId();
        double sentAt = Kit.now();
        socket.getOutputStream().write(Kit.request(id, "sales-question", 1500, 400, TOKENS));
        Kit.log("client " + number + ": sends " + id);
        calls.add(new Call(number, sentAt, Kit.readAnswer(socket, 10_000)));
      }
    } catch (Exception e) {
      Kit.log("client " + number + ": " + e);
      Kit.Answer none = new Kit.Answer();
      none.endedAt = Kit.now();
      none.status = 503; // the connection was refused or not usable: nothing was taken
      none.end = e.toString();
      calls.add(new Call(number, Kit.now(), none));
    }
  }
}
