package lemondock.faultinjection;

import java.util.Locale;

/** The state of a server on endpoint lists. */
enum ListedState {
  READY,
  DRAINING;

  /** The state as it is written in lists. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
