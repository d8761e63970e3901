package lemondock.benchmark;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.SnapshotBuffer;
import lemondock.exporter.SnapshotEncoder;
import lemondock.exporter.collectd.CollectdIdentifiers;
import lemondock.exporter.collectd.CounterType;
import lemondock.exporter.collectd.NetworkPacketEncoder;
import lemondock.exporter.collectd.PacketSecurity;
import lemondock.exporter.collectd.PutvalEncoder;
import lemondock.exporter.collectd.SecurityLevel;
import lemondock.exporter.graphite.PickleEncoder;
import lemondock.exporter.graphite.PlaintextEncoder;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;

/**
 * Measures the bytes and packets of a metrics report, the time to take and encode it, and the
 * memory of the buffered snapshots, by number of tenants.
 */
final class ReportBenchmark implements Benchmark {
  private static final int[] TENANT_COUNTS = {3, 100, 1_000};
  private static final int SNAPSHOTS = 360;
  private static final int ENCODE_ROUNDS = 5;
  private static final int MAX_PACKET_BYTES = 1_452;
  private static final int INTERVAL_MILLIS = 10_000;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double BYTES_PER_MEGABYTE = 1e6;
  private static final String PREFIX = "lemondock";
  private static final String INSTANCE = "gw-north-8080";

  @Override
  public void run() {
    System.out.println(
        "| tenants | values | snapshot us | plaintext | pickle | PUTVAL | collectd packets,"
            + " bytes | signed | encrypted | encode ms (spread) | ring of an hour, MB |"
            + " copies, MB |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int tenants : TENANT_COUNTS) {
      measure(tenants);
    }
  }

  /**
   * The snapshots of an hour.
   *
   * @param takeNanos how long each snapshot took, in ascending order
   * @param copiesBytes memory that full copies of the snapshots would need
   */
  private record Hour(
      SnapshotBuffer buffer, BufferedSnapshot last, long[] takeNanos, long copiesBytes) {}

  private static void measure(int tenants) {
    Hour hour = takeSnapshots(new LoadedMetrics(tenants));
    BufferedSnapshot snapshot = hour.last();
    double[] encodeMillis = measureEncoding(snapshot);
    CollectdIdentifiers identifiers = new CollectdIdentifiers("till-gateway-17", INSTANCE);
    Packetized plain = packetize(identifiers, SecurityLevel.NONE, snapshot);
    Packetized signed = packetize(identifiers, SecurityLevel.SIGN, snapshot);
    Packetized encrypted = packetize(identifiers, SecurityLevel.ENCRYPT, snapshot);
    System.out.printf(
        Locale.ROOT,
        "| %d | %d | p50 %d, p99 %d | %d | %d | %d | %d, %d | %d, %d | %d, %d | %.2f (%.2f"
            + " to %.2f) | %.2f | %.1f |%n",
        tenants,
        snapshot.values().length,
        TimeUnit.NANOSECONDS.toMicros(hour.takeNanos()[SNAPSHOTS / 2]),
        TimeUnit.NANOSECONDS.toMicros(hour.takeNanos()[SNAPSHOTS * 99 / 100]),
        encodedBytes(new PlaintextEncoder(PREFIX, INSTANCE, false), snapshot),
        encodedBytes(new PickleEncoder(PREFIX, INSTANCE, false), snapshot),
        encodedBytes(new PutvalEncoder(identifiers, INTERVAL_MILLIS), snapshot),
        plain.packets(),
        plain.bytes(),
        signed.packets(),
        signed.bytes(),
        encrypted.packets(),
        encrypted.bytes(),
        encodeMillis[ENCODE_ROUNDS / 2],
        encodeMillis[0],
        encodeMillis[ENCODE_ROUNDS - 1],
        hour.buffer().byteCount() / BYTES_PER_MEGABYTE,
        hour.copiesBytes() / BYTES_PER_MEGABYTE);
  }

  /** The metrics of a gateway under load, where some tenants send more than others. */
  private static final class LoadedMetrics {
    private static final String[] CLASSES = {
      "sale-lookup", "day-close", "card-refund", "till-move"
    };
    private static final String ZONE = "northern-ind";
    private static final int REGISTRY_SLOTS = 131_072;
    private static final int REQUESTS_PER_INTERVAL = 300;
    private static final long FULL_WEIGHT = 1_000_000;

    private final MetricRegistry registry = new MetricRegistry(REGISTRY_SLOTS);
    private final Recorder recorder = registry.newRecorder();
    private final List<Series> weights = new ArrayList<>();
    private final List<Series> requests = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);

    LoadedMetrics(int tenants) {
      for (String requestClass : CLASSES) {
        for (int tenant = 0; tenant < tenants; tenant++) {
          String name = "tenant-" + tenant;
          weights.add(registry.series(MetricFamilies.PRIORITY_WEIGHT, requestClass, ZONE, name));
          requests.add(registry.series(MetricFamilies.REQUESTS, requestClass, ZONE, name));
        }
        registry.series(MetricFamilies.TIME_TO_FIRST_TOKEN, requestClass);
        registry.series(MetricFamilies.TIME_PER_OUTPUT_TOKEN, requestClass);
        registry.series(MetricFamilies.REQUEST_DURATION, requestClass);
      }
    }

    /** Records the requests of ten seconds, 30 a second. */
    void recordInterval() {
      for (int i = 0; i < REQUESTS_PER_INTERVAL; i++) {
        int seriesIndex = (int) (weights.size() * Math.pow(random.nextDouble(), 3));
        long ticket = recorder.beginUpdate();
        recorder.add(weights.get(seriesIndex).slot(0), FULL_WEIGHT);
        recorder.add(weights.get(seriesIndex).slot(2), FULL_WEIGHT);
        recorder.add(requests.get(seriesIndex).slot(0), 1);
        recorder.add(requests.get(seriesIndex).slot(2), 1);
        recorder.endUpdate(ticket);
      }
    }

    MetricsSnapshot snapshot() {
      return registry.snapshotAndEndInterval();
    }
  }

  private static Hour takeSnapshots(LoadedMetrics metrics) {
    SnapshotBuffer buffer = new SnapshotBuffer(Long.MAX_VALUE, SNAPSHOTS);
    long[] takeNanos = new long[SNAPSHOTS];
    long copiesBytes = 0;
    BufferedSnapshot last = null;
    for (int number = 0; number < SNAPSHOTS; number++) {
      metrics.recordInterval();
      long startNanos = System.nanoTime();
      MetricsSnapshot snapshot = metrics.snapshot();
      takeNanos[number] = System.nanoTime() - startNanos;
      copiesBytes += (long) Long.BYTES * snapshot.values().length;
      long stampMillis = (long) number * INTERVAL_MILLIS;
      buffer.append(stampMillis, snapshot);
      last = new BufferedSnapshot(number, stampMillis, snapshot.series(), snapshot.values());
    }
    Arrays.sort(takeNanos);
    return new Hour(buffer, last, takeNanos, copiesBytes);
  }

  /** Encodes a report as plaintext in each round; returns the times in ascending order. */
  private static double[] measureEncoding(BufferedSnapshot snapshot) {
    double[] millis = new double[ENCODE_ROUNDS];
    for (int round = 0; round < ENCODE_ROUNDS; round++) {
      long startNanos = System.nanoTime();
      encodedBytes(new PlaintextEncoder(PREFIX, INSTANCE, false), snapshot);
      millis[round] = (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }
    Arrays.sort(millis);
    return millis;
  }

  private static long encodedBytes(SnapshotEncoder encoder, BufferedSnapshot snapshot) {
    ByteArrayOutputStream encoded = new ByteArrayOutputStream();
    encoder.encode(snapshot, 0, Integer.MAX_VALUE, encoded);
    return encoded.size();
  }

  /** The size of a report in packets of collectd's network protocol. */
  private record Packetized(long packets, long bytes) {}

  private static Packetized packetize(
      CollectdIdentifiers identifiers, SecurityLevel level, BufferedSnapshot snapshot) {
    NetworkPacketEncoder encoder =
        new NetworkPacketEncoder(
            identifiers,
            new PacketSecurity(level, "till", "secret"),
            MAX_PACKET_BYTES,
            INTERVAL_MILLIS,
            CounterType.DERIVE);
    int packets = 0;
    long bytes = 0;
    int nextSeries = 0;
    while (nextSeries < snapshot.series().size()) {
      NetworkPacketEncoder.Packet packet = encoder.encode(snapshot, nextSeries);
      packets++;
      bytes += packet.bytes().remaining();
      nextSeries = packet.nextSeries();
    }
    return new Packetized(packets, bytes);
  }
}
