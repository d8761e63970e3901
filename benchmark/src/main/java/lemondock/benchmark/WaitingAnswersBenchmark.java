package lemondock.benchmark;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the memory of answers that wait for a tool of their client, and their effect on the
 * latency of other calls. System property: {@code answers} (the largest number that wait).
 */
final class WaitingAnswersBenchmark implements Benchmark {
  private static final int ENGINE_SLOTS = 40_000;
  private static final int TOKEN_MILLIS = 1;
  private static final int LOAD_LOOPS = 2;
  private static final int ANSWERS_PER_SESSION = 10;
  private static final int SESSIONS_PER_STEP = 20;
  private static final int FIRST_ANSWER_ID = 1_000;
  private static final long SETTLE_SECONDS = 3;
  private static final int CALLS = 400;
  private static final int CALL_SESSIONS = 20;
  private static final long CALL_INTERVAL_MILLIS = 5;
  private static final long DONE_TIMEOUT_SECONDS = 60;

  private final int answers = Integer.getInteger("answers", 10_000);

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("4g", ENGINE_SLOTS, TOKEN_MILLIS).start()) {
      Path settings = new GatewaySettingsFile(engine.port()).write();
      try (ChildProcess gateway = ChildProcess.gateway("512m", settings).start();
          UnreadCalls waitingCalls = new UnreadCalls()) {
        System.out.println(
            "| answers waiting | heap MB after a collection | CPU % of one processor | a call"
                + " of 20 tokens beside them, first token p50, p99 us |\n"
                + "| --- | --- | --- | --- |");
        for (int target : new int[] {0, answers / 10, answers}) {
          measure(target, waitingCalls, gateway);
        }
      }
    }
  }

  private static void measure(int target, UnreadCalls waitingCalls, ChildProcess gateway)
      throws Exception {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
      addAnswers(target, waitingCalls, load, gateway.port());
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      final String cpuShare = CpuTime.formatShare(gateway);
      final long heapMegabytes = gateway.collectAndMeasure().heapMegabytes();
      runCalls(target, load, gateway.port());
      Histogram firstToken = load.firstTokenMicros();
      System.out.println(
          "| "
              + target
              + " | "
              + heapMegabytes
              + " | "
              + cpuShare
              + " | "
              + firstToken.getValueAtPercentile(50)
              + ", "
              + firstToken.getValueAtPercentile(99)
              + " ("
              + load.failures()
              + " failed) |");
    }
  }

  /** Starts answers that call a tool that never answers, until {@code target} answers wait. */
  private static void addAnswers(int target, UnreadCalls waitingCalls, StreamLoad load, int port)
      throws Exception {
    int sessionCount = Math.max(1, (target - waitingCalls.size()) / ANSWERS_PER_SESSION);
    List<String> sessions = load.openSessionsInSteps(port, sessionCount, SESSIONS_PER_STEP);
    for (int i = 0; waitingCalls.size() < target; i++) {
      String session = sessions.get(i / ANSWERS_PER_SESSION % sessions.size());
      String prompt = "#w" + waitingCalls.size() + "# call the tool stock answer in 5 words";
      waitingCalls.post(port, session, RequestBodies.callWithTool(FIRST_ANSWER_ID + i, prompt));
      Pacing.pauseAfterEach(50, i, 10);
    }
  }

  private static void runCalls(int target, StreamLoad load, int port) throws InterruptedException {
    List<String> sessions = load.openSessions(port, CALL_SESSIONS);
    CountDownLatch done = new CountDownLatch(CALLS);
    for (int i = 0; i < CALLS; i++) {
      String prompt = "#o" + target + "-" + i + "# stamp each word answer in 20 words";
      String session = sessions.get(i % CALL_SESSIONS);
      load.stream(StreamRequest.toGateway(i, port, session, prompt).withTimestamps(), done);
      TimeUnit.MILLISECONDS.sleep(CALL_INTERVAL_MILLIS);
    }
    done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }
}
