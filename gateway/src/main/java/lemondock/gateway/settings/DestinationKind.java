package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** The protocol of a metrics collector. */
public enum DestinationKind {
  /** Graphite's plaintext protocol over TCP. */
  GRAPHITE("graphite"),
  /** Graphite's pickle protocol over TCP. */
  GRAPHITE_PICKLE("graphite-pickle"),
  /** Collectd's binary protocol over UDP. */
  COLLECTD("collectd"),
  /** Collectd's text protocol over a Unix domain socket. */
  COLLECTD_UNIXSOCK("collectd-unixsock");

  private final String settingName;

  DestinationKind(String settingName) {
    this.settingName = settingName;
  }

  /** The value in the settings file. */
  @JsonValue
  public String settingName() {
    return settingName;
  }

  /** Whether metrics are named as Graphite names them, with a prefix and tags. */
  public boolean isGraphite() {
    return this == GRAPHITE || this == GRAPHITE_PICKLE;
  }
}
