package lemondock.emulator;

import lemondock.net.Loop;

/** Reports the events of one emulated server to a {@link TrafficObserver}. Loop thread only. */
final class TrafficRecorder {
  private final Loop loop;
  private final String server;
  private final TrafficObserver observer;

  TrafficRecorder(Loop loop, String server, TrafficObserver observer) {
    this.loop = loop;
    this.server = server;
    this.observer = observer;
  }

  void record(TrafficEvent.Kind kind, TrafficSource source, long value, String detail) {
    observer.onEvent(
        new TrafficEvent(
            loop.now(),
            server,
            kind,
            source.requestId(),
            source.mark(),
            source.gateway(),
            value,
            detail));
  }
}
