package lemondock.benchmark;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Timer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * What it costs to count: a group of an ended request (four counters, one time), and a single
 * count.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class MetricRecordingBenchmark {
  private final MetricRegistry registry = new MetricRegistry(8192);
  private final Recorder recorder = registry.newRecorder();
  private final Series worth = registry.series(MetricFamilies.PRIORITY_WEIGHT, "c", "z", "t");
  private final Series requests = registry.series(MetricFamilies.REQUESTS, "c", "z", "t");
  private final Series time = registry.series(MetricFamilies.REQUEST_DURATION, "c");
  private final LongAdder[] adders = {
    new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()
  };
  private final ConcurrentHashMap<String, LongAdder> map = new ConcurrentHashMap<>();
  private final SimpleMeterRegistry meterRegistry = new SimpleMeterRegistry();
  private final Counter[] counters = {
    meterRegistry.counter("a"),
    meterRegistry.counter("b"),
    meterRegistry.counter("c"),
    meterRegistry.counter("d")
  };
  private final Timer timer =
      Timer.builder("t").publishPercentiles(0.5, 0.9, 0.99, 0.999).register(meterRegistry);
  private long micros;

  /** One count of its own. */
  @Benchmark
  public void oneCount() {
    recorder.increment(worth.slot(0));
  }

  /** The end of a request, seen whole or not at all by a snapshot. */
  @Benchmark
  public void requestEnds() {
    long ticket = recorder.beginUpdate();
    recorder.add(worth.slot(0), 1_000_000);
    recorder.add(worth.slot(2), 1_000_000);
    recorder.add(requests.slot(0), 1);
    recorder.add(requests.slot(2), 1);
    recorder.observe(time, micros++ & 0xFFFFF);
    recorder.endUpdate(ticket);
  }

  /** The same with four adders and no time. */
  @Benchmark
  public void plainAdders() {
    adders[0].add(1_000_000);
    adders[1].add(1_000_000);
    adders[2].increment();
    adders[3].increment();
  }

  /** The same with adders found by name. */
  @Benchmark
  public void addersInAMap() {
    map.computeIfAbsent("worth.asked", k -> new LongAdder()).add(1_000_000);
    map.computeIfAbsent("worth.in_time", k -> new LongAdder()).add(1_000_000);
    map.computeIfAbsent("requests.taken", k -> new LongAdder()).increment();
    map.computeIfAbsent("requests.served", k -> new LongAdder()).increment();
  }

  /** The same with Micrometer's own meters; a snapshot may see half of it. */
  @Benchmark
  public void micrometer() {
    counters[0].increment(1);
    counters[1].increment(1);
    counters[2].increment();
    counters[3].increment();
    timer.record(micros++ & 0xFFFFF, TimeUnit.MICROSECONDS);
  }

  /** Runs all measurements of this class. */
  static void runAll() throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(MetricRecordingBenchmark.class.getName())
                .addProfiler(GCProfiler.class)
                .build())
        .run();
  }
}
