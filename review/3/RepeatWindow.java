import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Rounds of a few keyed requests. The first write of each has begun at its model server, and its
 * connection is reset late, but within the window in which the servers drop repeats. The gateway
 * reads the prompt again and may write again within the window only. It is held up for a moment
 * right after that read is answered.
 */
final class RepeatWindow {
  private static final int RUN_MILLIS = 80_000;
  private static final int REQUESTS_IN_ROUND = 4;
  private static final int OTHER_CLIENTS = 3;
  private static final int WINDOW_MILLIS = 1_000;

  /** PROTOCOL.md: every time limit is 50 ms longer on sockets. */
  private static final int SLACK_MILLIS = 50;

  /** The first write's connection is reset this long after the write has arrived. */
  private static final int RESET_AFTER_MILLIS = 900;

  /** The second read is answered this long after the first write has arrived. */
  private static final int SECOND_READ_AFTER_MILLIS = 970;

  /** The pages allow 150 ms; the rest is for the signals to arrive. */
  private static final int HELD_UP_MILLIS = 140;

  private static final String SETTINGS =
      Harness.settings(
          List.of(
              Harness.requestClass("sales-question", 6000, "\"repeatable\""),
              Harness.requestClass(
                  "card-refund",
                  3000,
                  "\"by_key\",\"group\":\"all\",\"repeat-window-ms\":" + WINDOW_MILLIS)));

  /** A keyed request, as the model servers see it. */
  private static final class Keyed {
    final List<Double> writesMillis = new ArrayList<>();
    int reads;
  }

  private final boolean trouble;
  private final Trace trace;
  private final Map<String, Keyed> keyed = new ConcurrentHashMap<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger keyedSent = new AtomicInteger();
  private final AtomicInteger repeats = new AtomicInteger();
  private final AtomicInteger holdUps = new AtomicInteger();
  private final ConcurrentLinkedQueue<String> broken = new ConcurrentLinkedQueue<>();
  private volatile boolean ended;

  /** Of the current round: when the second reads are answered; 0 until the first write came. */
  private double secondReadsAtMillis;

  private Gateway gateway;

  private RepeatWindow(boolean trouble, Trace trace) {
    this.trouble = trouble;
    this.trace = trace;
  }

  public static void main(String[] args) throws Exception {
    Harness.main(args, run -> new RepeatWindow(run.trouble(), run.trace()).run(run.root(), run.folder()));
  }

  private int run(Path root, Path temporary) throws Exception {
    ModelServer reader = new ModelServer("s-read", "prefill", "a", trace, this::read);
    ModelServer writer1 = new ModelServer("s-write-1", "decode", "a", trace, this::write);
    ModelServer writer2 = new ModelServer("s-write-2", "decode", "a", trace, this::write);
    Discovery discovery = new Discovery(List.of(reader, writer1, writer2));
    String limits = "{\"cores\":1.0,\"memory_mb\":128,\"sockets\":512}";
    try (Gateway started = new Gateway(root, temporary, discovery, limits, SETTINGS)) {
      gateway = started;
      trace.say("gateway is ready; trouble: %s", trouble);
      List<Thread> others = new ArrayList<>();
      for (int i = 0; i < OTHER_CLIENTS; i++) {
        others.add(new Thread(this::askOthers));
      }
      others.forEach(Thread::start);
      Thread.sleep(1_000);
      long end = System.nanoTime() + RUN_MILLIS * 1_000_000L;
      while (System.nanoTime() < end && gateway.isAlive()) {
        round();
      }
      ended = true;
      for (Thread other : others) {
        other.join(10_000);
      }
      if (!gateway.isAlive()) {
        trace.say("the gateway ended with %d", gateway.exitCode());
        return Harness.COULD_NOT_RUN;
      }
    }
    trace.say(
        "keyed requests %d, written again %d, others served %d, hold-ups %d, run twice %d",
        keyedSent.get(), repeats.get(), served.get(), holdUps.get(), broken.size());
    broken.forEach(line -> trace.say("%s", line));
    if (repeats.get() < 20) {
      trace.say("too few requests were written again for a judgement");
      return Harness.COULD_NOT_RUN;
    }
    return broken.isEmpty() ? Harness.HELD : Harness.BROKEN;
  }

  private void round() throws InterruptedException {
    synchronized (this) {
      secondReadsAtMillis = 0;
    }
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < REQUESTS_IN_ROUND; i++) {
      clients.add(new Thread(this::askKeyed));
    }
    clients.forEach(Thread::start);
    Thread holdUp = new Thread(this::holdUpAfterSecondReads);
    holdUp.start();
    for (Thread client : clients) {
      client.join();
    }
    synchronized (this) {
      notifyAll();
    }
    holdUp.join();
  }

  /** Holds the gateway up a moment after the second reads of the round were answered. */
  private void holdUpAfterSecondReads() {
    try {
      synchronized (this) {
        for (int i = 0; i < 30 && secondReadsAtMillis == 0; i++) {
          wait(50);
        }
        if (secondReadsAtMillis == 0 || !trouble) {
          return;
        }
      }
      double atMillis = secondReadsAtMillis + ThreadLocalRandom.current().nextDouble(0, 3);
      waitUntil(atMillis);
      gateway.signal("STOP");
      trace.log("hold-up begins");
      Thread.sleep(HELD_UP_MILLIS);
      gateway.signal("CONT");
      holdUps.incrementAndGet();
      trace.log("hold-up ends");
    } catch (Exception e) {
      trace.log("hold-up: %s", e);
    }
  }

  private void waitUntil(double millis) throws InterruptedException {
    double left = millis - trace.nowMillis();
    if (left > 2) {
      Thread.sleep((long) left - 1);
    }
    while (trace.nowMillis() < millis) {
      Thread.onSpinWait();
    }
  }

  private void read(ModelServer.Call call) throws Exception {
    if (call.isRelease()) {
      trace.log("reader: %s", call.request.startLine);
      call.respond("204 No Content", "", "");
      return;
    }
    Keyed request = keyed.get(call.id());
    if (request != null && ++request.reads > 1) {
      double atMillis;
      synchronized (this) {
        atMillis = secondReadsAtMillis;
      }
      waitUntil(atMillis);
    } else {
      Thread.sleep(5);
    }
    trace.log("reader: read prompt of %s", call.id());
    call.promptRead(0);
  }

  private void write(ModelServer.Call call) throws Exception {
    if (call.isRelease()) {
      call.respond("204 No Content", "", "");
      return;
    }
    trace.log("writer: got %s", call.id());
    Keyed request = keyed.get(call.id());
    if (request != null) {
      int writes;
      synchronized (request) {
        request.writesMillis.add(call.arrivedMillis);
        writes = request.writesMillis.size();
      }
      if (writes == 1) {
        synchronized (this) {
          if (secondReadsAtMillis == 0) {
            secondReadsAtMillis = call.arrivedMillis + SECOND_READ_AFTER_MILLIS;
            notifyAll();
          }
        }
        waitUntil(call.arrivedMillis + RESET_AFTER_MILLIS);
        trace.log("writer: connection of %s is reset", call.id());
        call.reset();
        return;
      }
      judge(call.id(), request);
    }
    call.send(ModelServer.STREAM_HEAD + ModelServer.event(call.id()));
    call.send(ModelServer.lastEvents(10, 1) + ModelServer.LAST_CHUNK);
  }

  private void judge(String id, Keyed request) {
    repeats.incrementAndGet();
    double afterMillis;
    synchronized (request) {
      afterMillis = request.writesMillis.get(1) - request.writesMillis.get(0);
    }
    trace.log("writer: %s came again after %.3f ms", id, afterMillis);
    if (afterMillis > WINDOW_MILLIS + SLACK_MILLIS) {
      String line =
          String.format("%s was written again %.3f ms after its first write arrived", id, afterMillis);
      trace.log("%s: it runs twice", line);
      broken.add(line);
    }
  }

  private void askKeyed() {
    String id = String.format("f%015x", ThreadLocalRandom.current().nextLong(1L << 60));
    keyed.put(id, new Keyed());
    keyedSent.incrementAndGet();
    trace.log("client: sends keyed %s", id);
    try (Client client = new Client(gateway.port, trace)) {
      Client.Answer answer =
          client.call(Client.request(id, "card-refund", "k" + id, 3000, 40, 100_000));
      trace.log(
          "client: %s got status %d, whole %s %s", id, answer.status, answer.whole, answer.problem);
    }
  }

  /** Requests of another class, which are served; they keep the gateway's retry budget filled. */
  private void askOthers() {
    try (Client client = new Client(gateway.port, trace)) {
      while (!ended) {
        String id = String.format("a%015x", ThreadLocalRandom.current().nextLong(1L << 60));
        Client.Answer answer =
            client.call(Client.request(id, "sales-question", "k" + id, 3000, 40, 2000));
        if (answer.served()) {
          served.incrementAndGet();
        }
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
