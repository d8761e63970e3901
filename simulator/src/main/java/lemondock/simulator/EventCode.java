package lemondock.simulator;

import java.util.Optional;

/**
 * Codes of the records in a batch; the comment of each constant gives the name of its code on the
 * wire.
 */
enum EventCode {
  /** Wire: held_note. Reply to a request to hold a place, which the router never sends. */
  PLACE_HELD(10),
  /** Wire: ack_first. */
  FIRST_TOKEN(20),
  /** Wire: to. Selects the instance that the records after it are for. */
  SELECT_INSTANCE(30),
  /** Wire: ping_result. Result of a health check, which the router never requests. */
  HEALTH_CHECK_RESULT(40),
  /** Wire: fleet. An instance gets the endpoint list with the given content number. */
  ENDPOINTS_CHANGED(50),
  /** Wire: timed_out_client. */
  CLIENT_DISCONNECTED(60),
  /** Wire: power_off. */
  INSTANCE_STOPPED(70),
  /** Wire: directory. Defines the content of an endpoint list, for all instances. */
  ENDPOINT_LIST(80),
  /** Wire: ring. */
  TIMER_FIRED(90),
  /** Wire: reply. */
  ATTEMPT_ENDED(100),
  /** Wire: neighbour_says. A message from another gateway, which the router never receives. */
  GOSSIP_MESSAGE(110),
  /** Wire: init. */
  INSTANCE_STARTED(120),
  /** Wire: accept. */
  REQUEST_ARRIVED(130);

  private final int wireCode;

  EventCode(int wireCode) {
    this.wireCode = wireCode;
  }

  /** Returns the event with that code on the wire; empty if the code is unknown. */
  static Optional<EventCode> of(int wireCode) {
    for (EventCode code : values()) {
      if (code.wireCode == wireCode) {
        return Optional.of(code);
      }
    }
    return Optional.empty();
  }
}
