package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** The collectd data source type that counters are sent as. */
public enum CollectdCounterType {
  /** A signed counter that may also decrease. */
  DERIVE("derive"),
  /** An unsigned counter; collectd treats a decrease as an overflow. */
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
