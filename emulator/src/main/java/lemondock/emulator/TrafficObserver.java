package lemondock.emulator;

/** Observes the traffic of emulators. Called on the loop thread of the emulator. */
@FunctionalInterface
public interface TrafficObserver {
  /** Ignores all events. */
  TrafficObserver NONE = event -> {};

  /** Receives one event. */
  void onEvent(TrafficEvent event);
}
