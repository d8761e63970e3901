package lemondock.exporter;

import java.util.ArrayDeque;

/**
 * Remembers when snapshots were sent, to tell how many to send again after a connection broke. Loop
 * thread only.
 */
final class ResendWindow {
  private final long windowMicros;
  private final ArrayDeque<Long> sentTimesMicros = new ArrayDeque<>();

  ResendWindow(long windowMicros) {
    this.windowMicros = windowMicros;
  }

  /** A snapshot was sent. */
  void onSent(long nowMicros) {
    sentTimesMicros.add(nowMicros);
    forgetBefore(nowMicros - windowMicros);
  }

  /** Number of snapshots sent within the window, which are forgotten by this. */
  int takeSentCount(long nowMicros) {
    forgetBefore(nowMicros - windowMicros);
    int count = sentTimesMicros.size();
    sentTimesMicros.clear();
    return count;
  }

  private void forgetBefore(long timeMicros) {
    while (!sentTimesMicros.isEmpty() && sentTimesMicros.peek() < timeMicros) {
      sentTimesMicros.poll();
    }
  }
}
