package lemondock.faultinjection;

/** How a link treats new connections. */
enum LinkAdmission {
  /** New connections are connected to the upstream address. */
  ACCEPT,
  /** New connections are reset at once. */
  RESET,
  /**
   * New connections are accepted, but connected upstream only once the link is set to ACCEPT again.
   */
  HALF_OPEN
}
