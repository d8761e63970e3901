package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Where the endpoint list comes from. */
public enum DiscoveryKind {
  /** A file that is polled. */
  @JsonProperty("file")
  FILE,
  /** Consul's health API. */
  @JsonProperty("consul")
  CONSUL
}
