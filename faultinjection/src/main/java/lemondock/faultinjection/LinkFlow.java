package lemondock.faultinjection;

/** How a link treats bytes in one direction. */
enum LinkFlow {
  /** The bytes are forwarded. */
  PASS,
  /**
   * The bytes are read from the sender and held, as are closes and resets; everything is delivered
   * once the link is set to PASS again.
   */
  HOLD
}
