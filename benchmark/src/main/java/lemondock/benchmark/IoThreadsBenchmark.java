package lemondock.benchmark;

import java.nio.file.Path;
import java.util.List;

/**
 * Measures events per second, events per CPU second and bytes allocated per event, by the number of
 * the gateway's I/O threads. System property: {@code rounds}.
 */
final class IoThreadsBenchmark implements Benchmark {
  private static final int[] THREAD_COUNTS = {1, 2, 4, 8};
  private static final int FIREHOSE_THREADS = 2;
  private static final int LOAD_LOOPS = 3;
  private static final int COLUMNS = 3;

  private final int rounds = Integer.getInteger("rounds", 5);

  @Override
  public void run() throws Exception {
    try (ChildProcess firehose = ChildProcess.firehose("1g", FIREHOSE_THREADS).start()) {
      printHeader();
      for (int threads : THREAD_COUNTS) {
        Path settings = new GatewaySettingsFile(firehose.port()).withIoThreads(threads).write();
        try (ChildProcess gateway = ChildProcess.gateway("1g", settings).start()) {
          System.out.println("| " + threads + measure(gateway).format() + " |");
        }
      }
    }
  }

  private void printHeader() {
    System.out.println(
        FirehoseRun.STREAMS
            + " streams of "
            + FirehoseRun.EVENTS_PER_STREAM
            + " events as fast as clients read them; "
            + rounds
            + " rounds, median (spread)\n"
            + "| I/O threads | events a second | events a CPU second | bytes allocated"
            + " an event |\n"
            + "| --- | --- | --- | --- |");
  }

  private RoundValues measure(ChildProcess gateway) throws Exception {
    RoundValues values = new RoundValues(COLUMNS, rounds);
    for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
      try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
        List<String> sessions = load.openSessions(gateway.port(), FirehoseRun.STREAMS);
        long allocatedBytesBefore = gateway.collectAndMeasure().allocatedBytes();
        FirehoseRun run = FirehoseRun.overGateway(load, gateway, sessions);
        if (round >= 0) {
          double allocatedBytes =
              gateway.collectAndMeasure().allocatedBytes() - allocatedBytesBefore;
          values.record(
              round,
              run.eventsPerSecond(),
              run.eventsPerCpuSecond(),
              allocatedBytes / run.events());
        }
      }
    }
    return values;
  }
}
