package lemondock.faultinjection;

/** What becomes of the bytes of a link in one direction. */
enum LinkFlow {
  /** They pass. */
  PASS,
  /**
   * They are taken from their sender and kept, closes and resets too; all of it is delivered once
   * the link passes again.
   */
  HOLD
}
