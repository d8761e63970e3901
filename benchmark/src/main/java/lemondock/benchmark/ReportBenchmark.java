package lemondock.benchmark;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
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
 * Bytes and packets of a report, time to take and encode it, and memory of the ring, by number of
 * tenants.
 */
final class ReportBenchmark {
  private static final String[] CLASSES = {"sale-lookup", "day-close", "card-refund", "till-move"};
  private static final int SNAPSHOTS = 360;
  private static final int ROUNDS = 5;

  private ReportBenchmark() {}

  static void run() {
    System.out.println(
        "| tenants | values | snapshot us | plaintext | pickle | PUTVAL | collectd packets,"
            + " bytes | signed | encrypted | encode ms (spread) | ring of an hour, MB |"
            + " copies, MB |");
    System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (int tenants : new int[] {3, 100, 1_000}) {
      report(tenants);
    }
  }

  private static void report(int tenants) {
    MetricRegistry registry = new MetricRegistry(131_072);
    Recorder recorder = registry.newRecorder();
    List<Series> worth = new ArrayList<>();
    List<Series> requests = new ArrayList<>();
    for (String c : CLASSES) {
      for (int t = 0; t < tenants; t++) {
        worth.add(
            registry.series(MetricFamilies.PRIORITY_WEIGHT, c, "northern-ind", "tenant-" + t));
        requests.add(registry.series(MetricFamilies.REQUESTS, c, "northern-ind", "tenant-" + t));
      }
      registry.series(MetricFamilies.TIME_TO_FIRST_TOKEN, c);
      registry.series(MetricFamilies.TIME_PER_OUTPUT_TOKEN, c);
      registry.series(MetricFamilies.REQUEST_DURATION, c);
    }
    SplittableRandom random = new SplittableRandom(1);
    SnapshotBuffer ring = new SnapshotBuffer(Long.MAX_VALUE, SNAPSHOTS);
    long[] took = new long[SNAPSHOTS];
    long copies = 0;
    BufferedSnapshot view = null;
    for (int s = 0;
        s < SNAPSHOTS;
        s++) { // ten seconds each, 30 requests a second, some tenants busier than others
      for (int i = 0; i < 300; i++) {
        int at = (int) (worth.size() * Math.pow(random.nextDouble(), 3));
        long ticket = recorder.beginUpdate();
        recorder.add(worth.get(at).slot(0), 1_000_000);
        recorder.add(worth.get(at).slot(2), 1_000_000);
        recorder.add(requests.get(at).slot(0), 1);
        recorder.add(requests.get(at).slot(2), 1);
        recorder.endUpdate(ticket);
      }
      long from = System.nanoTime();
      MetricsSnapshot snapshot = registry.snapshotAndEndInterval();
      took[s] = System.nanoTime() - from;
      copies += 8L * snapshot.values().length;
      ring.append(s * 10_000L, snapshot);
      view = new BufferedSnapshot(s, s * 10_000L, snapshot.series(), snapshot.values());
    }
    java.util.Arrays.sort(took);
    CollectdIdentifiers identifiers = new CollectdIdentifiers("till-gateway-17", "gw-north-8080");
    double[] encode = new double[ROUNDS];
    long[] sizes = new long[3];
    long[][] packets = new long[3][];
    for (int round = 0; round < ROUNDS; round++) {
      long from = System.nanoTime();
      sizes[0] = size(new PlaintextEncoder("lemondock", "gw-north-8080", false), view);
      encode[round] = (System.nanoTime() - from) / 1e6;
      sizes[1] = size(new PickleEncoder("lemondock", "gw-north-8080", false), view);
      sizes[2] = size(new PutvalEncoder(identifiers, 10_000), view);
      SecurityLevel[] levels = SecurityLevel.values();
      for (int i = 0; i < levels.length; i++) {
        packets[i] =
            packets(
                new NetworkPacketEncoder(
                    identifiers,
                    new PacketSecurity(levels[i], "till", "secret"),
                    1_452,
                    10_000,
                    CounterType.DERIVE),
                view);
      }
    }
    java.util.Arrays.sort(encode);
    System.out.printf(
        Locale.ROOT,
        "| %d | %d | p50 %d, p99 %d | %d | %d | %d | %d, %d | %d, %d | %d, %d | %.2f (%.2f"
            + " to %.2f) | %.2f | %.1f |%n",
        tenants,
        view.values().length,
        took[SNAPSHOTS / 2] / 1000,
        took[SNAPSHOTS * 99 / 100] / 1000,
        sizes[0],
        sizes[1],
        sizes[2],
        packets[0][0],
        packets[0][1],
        packets[1][0],
        packets[1][1],
        packets[2][0],
        packets[2][1],
        encode[ROUNDS / 2],
        encode[0],
        encode[ROUNDS - 1],
        ring.byteCount() / 1e6,
        copies / 1e6);
  }

  private static long size(SnapshotEncoder encoder, BufferedSnapshot view) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    encoder.encode(view, 0, Integer.MAX_VALUE, out);
    return out.size();
  }

  private static long[] packets(NetworkPacketEncoder packets, BufferedSnapshot view) {
    int count = 0;
    long bytes = 0;
    for (int at = 0; at < view.series().size(); ) {
      NetworkPacketEncoder.Packet packet = packets.encode(view, at);
      count++;
      bytes += packet.bytes().remaining();
      at = packet.nextSeries();
    }
    return new long[] {count, bytes};
  }
}
