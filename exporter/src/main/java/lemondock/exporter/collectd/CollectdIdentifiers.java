package lemondock.exporter.collectd;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import lemondock.exporter.LabelEscaping;
import lemondock.exporter.SeriesCache;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.Series;

/**
 * The collectd identifiers of one gateway's values: host, plugin {@code lemondock}, plugin
 * instance, type {@code lemondock_FAMILY}, and the label values as type instance. collectd limits
 * each part to 63 bytes; a longer part is truncated and ends in a hash of the whole, so that
 * different values keep different identifiers. Not thread-safe.
 */
public final class CollectdIdentifiers {
  static final String PLUGIN = "lemondock";

  private static final String TYPE_PREFIX = "lemondock_";
  private static final int MAX_PART_BYTES = 63;
  private static final int HASH_DIGITS = 12;
  private static final String RESERVED_CHARACTERS = "[/\"\\\\ ]";

  private final String host;
  private final String pluginInstance;
  private final SeriesCache<String> typeInstances =
      new SeriesCache<>(CollectdIdentifiers::computeTypeInstance);

  /** Creates identifiers; characters that collectd reserves are replaced by {@code _}. */
  public CollectdIdentifiers(String host, String pluginInstance) {
    this.host = boundedPart(host.replaceAll(RESERVED_CHARACTERS, "_"));
    this.pluginInstance = boundedPart(pluginInstance.replaceAll(RESERVED_CHARACTERS, "_"));
  }

  String host() {
    return host;
  }

  String pluginInstance() {
    return pluginInstance;
  }

  static String type(MetricFamily family) {
    return TYPE_PREFIX + family.name();
  }

  /** The label values, joined by dots; empty if there are none. */
  String typeInstance(Series series) {
    return typeInstances.get(series);
  }

  private static String computeTypeInstance(Series series) {
    List<String> escaped = series.labelValues().stream().map(LabelEscaping::escape).toList();
    return boundedPart(String.join(".", escaped));
  }

  private static String boundedPart(String text) {
    String printable = isPrintableAscii(text) ? text : LabelEscaping.escape(text);
    if (printable.length() <= MAX_PART_BYTES) {
      return printable;
    }
    String hash = sha256(printable).substring(0, HASH_DIGITS);
    return printable.substring(0, MAX_PART_BYTES - HASH_DIGITS - 1) + "~" + hash;
  }

  private static boolean isPrintableAscii(String text) {
    return text.chars().allMatch(character -> character >= ' ' && character < 127);
  }

  private static String sha256(String ascii) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(ascii.getBytes(StandardCharsets.US_ASCII));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(
          "SHA-256 is missing, which every Java platform must support", e);
    }
  }
}
