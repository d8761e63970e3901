package lemondock.simulator;

import java.util.Optional;

/** What a record of a batch tells; each constant names the wire's own word. */
enum EventCode {
  /** Wire: held_note. Answers a request to hold a place, which the router never makes. */
  PLACE_HELD(10),
  /** Wire: ack_first. */
  FIRST_TOKEN(20),
  /** Wire: to. The instance that the records behind it are for. */
  SELECT_INSTANCE(30),
  /** Wire: ping_result. Answers a health check, which the router never asks for. */
  HEALTH_CHECK_RESULT(40),
  /** Wire: fleet. An endpoint list, given by the number of its content. */
  ENDPOINTS_CHANGED(50),
  /** Wire: timed_out_client. */
  CLIENT_DISCONNECTED(60),
  /** Wire: power_off. */
  INSTANCE_STOPPED(70),
  /** Wire: directory. The content of an endpoint list, for all instances. */
  ENDPOINT_LIST(80),
  /** Wire: ring. */
  TIMER_FIRED(90),
  /** Wire: reply. */
  ATTEMPT_ENDED(100),
  /** Wire: neighbour_says. A message of another gateway, which the router never gets. */
  GOSSIP_MESSAGE(110),
  /** Wire: init. */
  INSTANCE_STARTED(120),
  /** Wire: accept. */
  REQUEST_ARRIVED(130);

  private final int wireCode;

  EventCode(int wireCode) {
    this.wireCode = wireCode;
  }

  /** The event of a code on the wire; empty if there is none. */
  static Optional<EventCode> of(int wireCode) {
    for (EventCode code : values()) {
      if (code.wireCode == wireCode) {
        return Optional.of(code);
      }
    }
    return Optional.empty();
  }
}
