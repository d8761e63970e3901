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
 * Measures the cost of recording metrics: a single increment, and the group of updates at the end
 * of a request (four counters and one duration).
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
  private final Series priorityWeight =
      registry.series(MetricFamilies.PRIORITY_WEIGHT, "c", "z", "t");
  private final Series requests = registry.series(MetricFamilies.REQUESTS, "c", "z", "t");
  private final Series duration = registry.series(MetricFamilies.REQUEST_DURATION, "c");
  private final LongAdder[] adders = {
    new LongAdder(), new LongAdder(), new LongAdder(), new LongAdder()
  };
  private final ConcurrentHashMap<String, LongAdder> addersByName = new ConcurrentHashMap<>();
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

  /** A single increment outside a group. */
  @Benchmark
  public void oneCount() {
    recorder.increment(priorityWeight.slot(0));
  }

  /** The updates at the end of a request; a snapshot includes all of them or none. */
  @Benchmark
  public void requestEnds() {
    long ticket = recorder.beginUpdate();
    recorder.add(priorityWeight.slot(0), 1_000_000);
    recorder.add(priorityWeight.slot(2), 1_000_000);
    recorder.add(requests.slot(0), 1);
    recorder.add(requests.slot(2), 1);
    recorder.observe(duration, micros++ & 0xFFFFF);
    recorder.endUpdate(ticket);
  }

  /** The four counters of a request as plain adders, without a duration. */
  @Benchmark
  public void plainAdders() {
    adders[0].add(1_000_000);
    adders[1].add(1_000_000);
    adders[2].increment();
    adders[3].increment();
  }

  /** The four counters of a request as adders that are looked up by name, without a duration. */
  @Benchmark
  public void addersInAMap() {
    addersByName.computeIfAbsent("worth.asked", ignored -> new LongAdder()).add(1_000_000);
    addersByName.computeIfAbsent("worth.in_time", ignored -> new LongAdder()).add(1_000_000);
    addersByName.computeIfAbsent("requests.taken", ignored -> new LongAdder()).increment();
    addersByName.computeIfAbsent("requests.served", ignored -> new LongAdder()).increment();
  }

  /** The updates of a request with Micrometer's meters; a snapshot may include some of them. */
  @Benchmark
  public void micrometer() {
    counters[0].increment(1);
    counters[1].increment(1);
    counters[2].increment();
    counters[3].increment();
    timer.record(micros++ & 0xFFFFF, TimeUnit.MICROSECONDS);
  }

  /** Runs all measurements of this class with the garbage-collection profiler. */
  static void runAll() throws RunnerException {
    new Runner(
            new OptionsBuilder()
                .include(MetricRecordingBenchmark.class.getName())
                .addProfiler(GCProfiler.class)
                .build())
        .run();
  }
}
