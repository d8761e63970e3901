package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** The data source type under which counters are sent to collectd. */
public enum CollectdCounterType {
  /** A signed counter that may also fall. */
  DERIVE("derive"),
  /** An unsigned counter whose fall is taken for an overflow. */
  COUNTER("counter");

  private final String settingName;

  CollectdCounterType(String settingName) {
    this.settingName = settingName;
  }

  /** The value in the settings file. */
  @JsonValue
  public String settingName() {
    return settingName;
  }
}
