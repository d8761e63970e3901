package lemondock.gateway.settings;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The source of the endpoint list. */
public enum DiscoveryKind {
  /** A file that is polled for changes. */
  @JsonProperty("file")
  FILE,
  /** Consul's health API, followed with blocking queries. */
  @JsonProperty("consul")
  CONSUL
}
