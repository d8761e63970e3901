package lemondock.exporter.collectd;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import lemondock.exporter.Labels;
import lemondock.metrics.Series;

/**
 * collectd's names: host, plugin {@code lemondock}, its instance, type {@code lemondock_FAMILY},
 * and the labels as the type's instance. A part holds 63 bytes at most; a longer one is cut and
 * ends in a hash of the whole, so that two never become one.
 */
public final class Identity {
  static final String PLUGIN = "lemondock";
  private static final int MOST = 63;
  private static final int HASH = 12;

  private final String host;
  private final String instance;
  private final List<String> known = new ArrayList<>();

  /** Names of one gateway's values. */
  public Identity(String host, String instance) {
    this.host = part(host.replaceAll("[/\"\\\\ ]", "_"));
    this.instance = part(instance.replaceAll("[/\"\\\\ ]", "_"));
  }

  String host() {
    return host;
  }

  String instance() {
    return instance;
  }

  static String type(Series s) {
    return "lemondock_" + s.family().name();
  }

  /** The labels, joined by dots; empty if there are none. */
  String typeInstance(Series s) {
    while (known.size() <= s.number()) {
      known.add(null);
    }
    String name = known.get(s.number());
    if (name == null) {
      name = part(String.join(".", s.labels().stream().map(Labels::escape).toList()));
      known.set(s.number(), name);
    }
    return name;
  }

  private static String part(String text) {
    if (text.length() <= MOST && text.chars().allMatch(c -> c >= ' ' && c < 127)) {
      return text;
    }
    String plain = text.chars().allMatch(c -> c >= ' ' && c < 127) ? text : Labels.escape(text);
    if (plain.length() <= MOST) {
      return plain;
    }
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(plain.getBytes(StandardCharsets.US_ASCII));
      return plain.substring(0, MOST - HASH - 1)
          + "~"
          + HexFormat.of().formatHex(hash).substring(0, HASH);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java has SHA-256", e);
    }
  }
}
