package lemondock.scenario;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Kinds of faults in a script. A seed draws a kind by its position in this enum, so reordering the
 * constants changes the scenario of a seed.
 */
public enum FaultKind {
  /** Some engines answer a share of their requests with status 500. */
  FAST_ERRORS("fast_errors"),
  /** Some engines are slower by a factor. */
  SLOW("slow"),
  /** All engines are slower at once. */
  SHARED_SLOW("shared_slow"),
  /** Some engines lose their prefix caches. */
  FORGET("forget"),
  /** Some engines run a share of their requests but never answer them. */
  ANSWER_LOST("answer_lost"),
  /** Some engines accept requests and do nothing. */
  SILENT("silent"),
  /** Some engines crash and are restarted. */
  CRASH("crash"),
  /** Some engines are drained, stopped and restarted one after the other. */
  DEPLOY("deploy"),
  /** All engines and gateways of a zone crash and are restarted. */
  ZONE_LOSS("zone_loss"),
  /** One gateway is killed and restarted. */
  GATEWAY_KILL("gateway_kill"),
  /** All gateways are killed and restarted one after the other. */
  GATEWAYS_ROLL("gateways_roll"),
  /** Clients abandon more of their calls. */
  GIVE_UP("give_up"),
  /** Some writers break their streams. */
  STREAM_BREAK("stream_break"),
  /** Many new conversations share one prefix. */
  HOT_OPENING("hot_opening"),
  /** Some readers lose reserved states. */
  STATES_LOST("states_lost"),
  /** The catalogue answers with errors. */
  LIST_FAILS("list_fails"),
  /** The catalogue lists no engines. */
  LIST_EMPTY("list_empty"),
  /** Some engines become slower step by step, then crash. */
  AGEING("ageing"),
  /** Another program on the engines' machines slows them on and off. */
  NEIGHBOUR("neighbour"),
  /** One gateway is paused, as by SIGSTOP. */
  GATEWAY_FREEZE("gateway_freeze"),
  /** A share of the time of one gateway's event loop is occupied. */
  GATEWAY_BUSY("gateway_busy");

  private final String scriptName;

  FaultKind(String scriptName) {
    this.scriptName = scriptName;
  }

  /** The name of the kind in scripts and reports. */
  @JsonValue
  public String scriptName() {
    return scriptName;
  }
}
