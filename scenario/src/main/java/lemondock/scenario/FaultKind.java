package lemondock.scenario;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Kinds of faults that a script can ask for. A seed draws a kind by its position here: the order is
 * part of what a seed means.
 */
public enum FaultKind {
  /** Engines answer a share of their requests with status 500. */
  FAST_ERRORS("fast_errors"),
  /** Some engines are slower by a factor. */
  SLOW("slow"),
  /** All engines are slower at once. */
  SHARED_SLOW("shared_slow"),
  /** Engines lose their prefix caches. */
  FORGET("forget"),
  /** Engines do a share of their work and never answer. */
  ANSWER_LOST("answer_lost"),
  /** Engines accept requests and do nothing. */
  SILENT("silent"),
  /** Engines die and are started again. */
  CRASH("crash"),
  /** Engines are drained, stopped and started one after the other. */
  DEPLOY("deploy"),
  /** All engines and gateways of a zone die and are started again. */
  ZONE_LOSS("zone_loss"),
  /** One gateway dies and is started again. */
  GATEWAY_KILL("gateway_kill"),
  /** All gateways die and are started again one after the other. */
  GATEWAYS_ROLL("gateways_roll"),
  /** More clients give up waiting. */
  GIVE_UP("give_up"),
  /** Writers break their streams. */
  STREAM_BREAK("stream_break"),
  /** Many new conversations share one prefix. */
  HOT_OPENING("hot_opening"),
  /** Readers lose reserved states. */
  STATES_LOST("states_lost"),
  /** The catalogue answers with errors. */
  LIST_FAILS("list_fails"),
  /** The catalogue lists no engines. */
  LIST_EMPTY("list_empty"),
  /** Engines become slower step by step, then crash. */
  AGEING("ageing"),
  /** Another program on the engines' machines slows them on and off. */
  NEIGHBOUR("neighbour"),
  /** One gateway is paused, as by SIGSTOP. */
  GATEWAY_FREEZE("gateway_freeze"),
  /** One gateway gets only a share of its event loop. */
  GATEWAY_BUSY("gateway_busy");

  private final String scriptName;

  FaultKind(String scriptName) {
    this.scriptName = scriptName;
  }

  /** The name in scripts and reports. */
  @JsonValue
  public String scriptName() {
    return scriptName;
  }
}
