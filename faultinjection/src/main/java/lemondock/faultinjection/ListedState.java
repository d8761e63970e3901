package lemondock.faultinjection;

import java.util.Locale;

/** The state of a server in an endpoint list. */
enum ListedState {
  READY,
  DRAINING;

  /** The state as it is written in endpoint lists. */
  String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
