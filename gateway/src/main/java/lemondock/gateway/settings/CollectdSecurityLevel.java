package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonValue;

/** How packets of collectd's binary protocol are protected. */
public enum CollectdSecurityLevel {
  /** Neither signed nor encrypted. */
  NONE("none"),
  /** Signed with the user's password. */
  SIGN("sign"),
  /** Signed and encrypted with the user's password. */
  ENCRYPT("encrypt");

  private final String settingName;

  CollectdSecurityLevel(String settingName) {
    this.settingName = settingName;
  }

  /** The value in the settings file. */
  @JsonValue
  public String settingName() {
    return settingName;
  }
}
