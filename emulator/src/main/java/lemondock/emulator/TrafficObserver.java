package lemondock.emulator;

/** Observes what passes on an emulator's sockets. Called on the emulator's loop. */
@FunctionalInterface
public interface TrafficObserver {
  /** Ignores all events. */
  TrafficObserver NONE = event -> {};

  /** Receives one event. */
  void onEvent(TrafficEvent event);
}
