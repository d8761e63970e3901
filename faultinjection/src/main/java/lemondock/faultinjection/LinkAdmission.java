package lemondock.faultinjection;

/** What becomes of new connections of a link. */
enum LinkAdmission {
  /** They are connected through. */
  ACCEPT,
  /** They are reset at once. */
  RESET,
  /** They come up, and their far side is reached only once the link accepts again. */
  HALF_OPEN
}
