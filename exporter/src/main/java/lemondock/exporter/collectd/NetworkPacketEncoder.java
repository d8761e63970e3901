package lemondock.exporter.collectd;

import java.nio.ByteBuffer;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.ServiceHealth;
import lemondock.exporter.collectd.PartWriter.PartType;
import lemondock.metrics.Series;

/**
 * Encodes packets of collectd's binary network protocol
 * (https://collectd.org/wiki/index.php/Binary_protocol). A part that is unchanged within a packet
 * is written once. Counters are sent as integers and gauges as doubles, which are NaN if the gauge
 * has no value. No I/O. Not thread-safe.
 */
public final class NetworkPacketEncoder {
  private static final String NOTIFICATION_TYPE = "lemondock_fall";
  private static final int MAX_MESSAGE_CHARS = 255;
  private static final int SEVERITY_WARNING = 2;
  private static final int SEVERITY_OKAY = 4;
  private static final int HIGH_RESOLUTION_BITS = 30;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final CollectdIdentifiers identifiers;
  private final PacketSecurity security;
  private final int maxPartsBytes;
  private final long interval;
  private final CounterType counterType;
  private final PartWriter packet = new PartWriter();
  private final PartWriter seriesParts = new PartWriter();

  /** Type and type instance that the packet's parts have set so far. */
  private String type = "";

  private String typeInstance = "";

  /**
   * One packet of a snapshot.
   *
   * @param bytes the packet to send
   * @param nextSeries position of the first series that is not encoded yet; the number of series
   *     once all are
   */
  public record Packet(ByteBuffer bytes, int nextSeries) {}

  /**
   * Creates an encoder.
   *
   * @param maxPacketBytes limit on a packet including signature or encryption; collectd's default
   *     is 1,452
   * @param intervalMillis time between two values of a series, in milliseconds
   * @param counterType the data source type that counters are sent as
   */
  public NetworkPacketEncoder(
      CollectdIdentifiers identifiers,
      PacketSecurity security,
      int maxPacketBytes,
      long intervalMillis,
      CounterType counterType) {
    this.identifiers = identifiers;
    this.security = security;
    this.maxPartsBytes = maxPacketBytes - security.overheadBytes();
    this.interval = highResolutionTime(intervalMillis);
    this.counterType = counterType;
  }

  /** Converts milliseconds to collectd's high-resolution time, in units of 2^-30 seconds. */
  static long highResolutionTime(long millis) {
    long wholeSeconds = millis / MILLIS_PER_SECOND << HIGH_RESOLUTION_BITS;
    long fraction = (millis % MILLIS_PER_SECOND << HIGH_RESOLUTION_BITS) / MILLIS_PER_SECOND;
    return wholeSeconds + fraction;
  }

  /**
   * Encodes as many series of a snapshot as fit into one packet. A series that does not fit into an
   * empty packet is skipped.
   *
   * @param firstSeries position of the first series to encode
   */
  public Packet encode(BufferedSnapshot snapshot, int firstSeries) {
    beginPacket(snapshot.timestampMillis());
    int next = firstSeries;
    while (next < snapshot.series().size()
        && appendIfFits(snapshot.series().get(next), snapshot.values())) {
      next++;
    }
    boolean isFirstTooLarge = next == firstSeries && next < snapshot.series().size();
    ByteBuffer bytes = security.protect(packet.toByteArray());
    return new Packet(bytes, isFirstTooLarge ? next + 1 : next);
  }

  private void beginPacket(long timestampMillis) {
    packet.reset();
    type = "";
    typeInstance = "";
    packet.writeText(PartType.HOST, identifiers.host());
    packet.writeNumber(PartType.TIME_HIGH_RESOLUTION, highResolutionTime(timestampMillis));
    packet.writeNumber(PartType.INTERVAL_HIGH_RESOLUTION, interval);
    packet.writeText(PartType.PLUGIN, CollectdIdentifiers.PLUGIN);
    packet.writeText(PartType.PLUGIN_INSTANCE, identifiers.pluginInstance());
  }

  private boolean appendIfFits(Series series, long[] values) {
    String seriesType = CollectdIdentifiers.type(series.family());
    String seriesTypeInstance = identifiers.typeInstance(series);
    seriesParts.reset();
    if (!type.equals(seriesType)) {
      seriesParts.writeText(PartType.TYPE, seriesType);
    }
    if (!typeInstance.equals(seriesTypeInstance)) {
      seriesParts.writeText(PartType.TYPE_INSTANCE, seriesTypeInstance);
    }
    seriesParts.writeValues(series, values, counterType);
    if (packet.size() + seriesParts.size() > maxPartsBytes) {
      return false;
    }
    packet.append(seriesParts);
    type = seriesType;
    typeInstance = seriesTypeInstance;
    return true;
  }

  /**
   * Encodes a notification, which collectd's plugins can forward to operators.
   *
   * @param timestampMillis milliseconds since the epoch
   * @param message text, truncated to 255 characters
   */
  public ByteBuffer encodeNotification(long timestampMillis, ServiceHealth health, String message) {
    packet.reset();
    packet.writeText(PartType.HOST, identifiers.host());
    packet.writeNumber(PartType.TIME_HIGH_RESOLUTION, highResolutionTime(timestampMillis));
    packet.writeText(PartType.PLUGIN, CollectdIdentifiers.PLUGIN);
    packet.writeText(PartType.PLUGIN_INSTANCE, identifiers.pluginInstance());
    packet.writeText(PartType.TYPE, NOTIFICATION_TYPE);
    packet.writeNumber(PartType.SEVERITY, severity(health));
    packet.writeText(
        PartType.MESSAGE, message.substring(0, Math.min(MAX_MESSAGE_CHARS, message.length())));
    return security.protect(packet.toByteArray());
  }

  private static int severity(ServiceHealth health) {
    return health == ServiceHealth.DEGRADED ? SEVERITY_WARNING : SEVERITY_OKAY;
  }
}
