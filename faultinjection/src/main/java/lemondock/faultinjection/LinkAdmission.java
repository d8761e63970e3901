package lemondock.faultinjection;

/** How a link treats new connections. */
enum LinkAdmission {
  /** They are connected to the upstream address. */
  ACCEPT,
  /** They are reset at once. */
  RESET,
  /** They are accepted, but connected upstream only once the link is set to ACCEPT again. */
  HALF_OPEN
}
