import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers send some answers twice, the second time some milliseconds late; the gateway's
 * process is held up now and then. Each answer has its request's id in every event, so that a
 * client sees whether an answer was made for its request.
 */
final class SecondAnswer {
  private static final int RUN_MILLIS = 60_000;
  private static final int CLIENTS = 12;
  private static final int EVENTS = 6;
  private static final int SECOND_ANSWER_DELAY_MILLIS = 10;
  private static final double SPOILT_SHARE = 0.2;

  /** The pages allow 150 ms; the rest is for the signals to arrive. */
  private static final int HELD_UP_MILLIS = 140;

  private static final int BETWEEN_HOLD_UPS_MILLIS = 700;

  private static final String SETTINGS =
      Harness.settings(
          List.of(Harness.requestClass("sales-question", 6000, "\"repeatable\"")));

  private final boolean trouble;
  private final Trace trace;
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger secondAnswers = new AtomicInteger();
  private final AtomicInteger holdUps = new AtomicInteger();
  private final ConcurrentLinkedQueue<String> foreign = new ConcurrentLinkedQueue<>();
  private volatile boolean ended;

  private SecondAnswer(boolean trouble, Trace trace) {
    this.trouble = trouble;
    this.trace = trace;
  }

  public static void main(String[] args) throws Exception {
    Harness.main(args, run -> new SecondAnswer(run.trouble(), run.trace()).run(run.root(), run.folder()));
  }

  private int run(Path root, Path temporary) throws Exception {
    ModelServer reader = new ModelServer("s-read", "prefill", "a", trace, this::read);
    ModelServer writer = new ModelServer("s-write", "decode", "a", trace, this::write);
    Discovery discovery = new Discovery(List.of(reader, writer));
    String limits = "{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}";
    try (Gateway gateway = new Gateway(root, temporary, discovery, limits, SETTINGS)) {
      trace.say("gateway is ready; trouble: %s", trouble);
      Thread[] clients = new Thread[CLIENTS];
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        clients[i] = new Thread(() -> ask(gateway.port, number));
        clients[i].start();
      }
      long end = System.nanoTime() + RUN_MILLIS * 1_000_000L;
      while (System.nanoTime() < end && gateway.isAlive()) {
        Thread.sleep(BETWEEN_HOLD_UPS_MILLIS + ThreadLocalRandom.current().nextInt(50));
        if (trouble && !"0".equals(System.getenv("HOLD_UPS"))) {
          holdUp(gateway);
        }
      }
      ended = true;
      for (Thread client : clients) {
        client.join(10_000);
      }
      if (!gateway.isAlive()) {
        trace.say("the gateway ended with %d", gateway.exitCode());
        return Harness.COULD_NOT_RUN;
      }
    }
    trace.say(
        "sent %d, served %d, second answers %d, hold-ups %d, answers with another request's events %d",
        sent.get(), served.get(), secondAnswers.get(), holdUps.get(), foreign.size());
    foreign.forEach(line -> trace.say("%s", line));
    if (served.get() < 500) {
      trace.say("too few requests were served for a judgement");
      return Harness.COULD_NOT_RUN;
    }
    return foreign.isEmpty() ? Harness.HELD : Harness.BROKEN;
  }

  private void holdUp(Gateway gateway) throws Exception {
    trace.log("hold-up begins");
    gateway.signal("STOP");
    Thread.sleep(HELD_UP_MILLIS);
    gateway.signal("CONT");
    holdUps.incrementAndGet();
    trace.log("hold-up ends");
  }

  private void read(ModelServer.Call call) throws Exception {
    if (call.isRelease()) {
      trace.log("reader: release of %s", call.request.startLine);
      call.respond("204 No Content", "", "");
      return;
    }
    Thread.sleep(ThreadLocalRandom.current().nextInt(5, 30));
    trace.log("reader: read prompt of %s", call.id());
    call.promptRead(0);
  }

  private void write(ModelServer.Call call) throws Exception {
    if (call.isRelease()) {
      call.respond("204 No Content", "", "");
      return;
    }
    trace.log("writer: runs %s", call.id());
    Thread.sleep(ThreadLocalRandom.current().nextInt(5, 30));
    call.send(ModelServer.STREAM_HEAD);
    for (int i = 0; i < EVENTS; i++) {
      call.send(ModelServer.event(call.id() + "." + i));
      Thread.sleep(5);
    }
    call.send(ModelServer.lastEvents(10, EVENTS) + ModelServer.LAST_CHUNK);
    trace.log("writer: answered %s", call.id());
    if (trouble && ThreadLocalRandom.current().nextDouble() < SPOILT_SHARE) {
      Thread.sleep(SECOND_ANSWER_DELAY_MILLIS);
      StringBuilder again = new StringBuilder(ModelServer.STREAM_HEAD);
      for (int i = 0; i < EVENTS; i++) {
        again.append(ModelServer.event(call.id() + "." + i));
      }
      again.append(ModelServer.lastEvents(10, EVENTS)).append(ModelServer.LAST_CHUNK);
      call.send(again.toString());
      secondAnswers.incrementAndGet();
      trace.log("writer: second answer to %s", call.id());
    }
  }

  private void ask(int port, int number) {
    try (Client client = new Client(port, trace)) {
      while (!ended) {
        String id =
            String.format("%02x%014x", number, ThreadLocalRandom.current().nextLong(1L << 56));
        trace.log("client %d: sends %s", number, id);
        sent.incrementAndGet();
        Client.Answer answer =
            client.call(Client.request(id, "sales-question", "k" + id, 3000, 40, 2000));
        trace.log(
            "client %d: %s got status %d, whole %s %s",
            number, id, answer.status, answer.whole, answer.problem);
        if (answer.served()) {
          served.incrementAndGet();
        }
        for (String content : answer.contents) {
          if (!content.isEmpty() && !content.startsWith(id + ".")) {
            String line = "the answer to " + id + " has the event " + content;
            trace.log("%s", line);
            foreign.add(line);
            break;
          }
        }
        Thread.sleep(ThreadLocalRandom.current().nextInt(1, 20));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
